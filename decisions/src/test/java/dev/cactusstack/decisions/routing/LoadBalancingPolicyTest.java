package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadBalancingPolicyTest {
  private static final UpstreamSnapshot QUICK = new UpstreamSnapshot(1, 4, 40, 10, 0, 0);
  private static final UpstreamSnapshot FULL = new UpstreamSnapshot(4, 4, 40, 10, 0, 0);

  private static int pick(int waiting, UpstreamSnapshot... views) {
    return LoadBalancingPolicy.LEAST_EXPECTED_LATENCY.pick(List.of(views), 0, waiting).orElse(-1);
  }

  @Test
  void shouldAvoidAnUpstreamWhoseOldestRequestIsLate() {
    UpstreamSnapshot late = new UpstreamSnapshot(1, 4, 40, 300, 0, 0);
    assertThat(pick(1, late, QUICK)).isEqualTo(1);
  }

  @Test
  void shouldWaitWhenOnlyASlowUpstreamHasRoom() {
    UpstreamSnapshot slow = new UpstreamSnapshot(0, 4, 400, 0, 0, 0);
    assertThat(pick(1, slow, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldUseASlowUpstreamWhenTheQueueIsLonger() {
    UpstreamSnapshot slow = new UpstreamSnapshot(0, 4, 400, 0, 0, 0);
    assertThat(pick(200, slow, FULL, FULL)).isEqualTo(0);
  }

  @Test
  void shouldTryASlowUpstreamOnceWhenItHasBeenQuiet() {
    UpstreamSnapshot quiet = new UpstreamSnapshot(0, 4, 400, 0, 2_000, 0);
    UpstreamSnapshot onTrial = new UpstreamSnapshot(1, 4, 400, 5, 0, 0);
    assertThat(pick(1, quiet, FULL, FULL)).isEqualTo(0);
    assertThat(pick(1, onTrial, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldNotBeDrawnToAnUpstreamThatFailsFast() {
    UpstreamSnapshot failing = new UpstreamSnapshot(0, 4, 0.2, 0, 0, 0.9);
    assertThat(pick(1, failing, QUICK, QUICK)).isNotEqualTo(0);
  }

  @Test
  void shouldChooseOneWhenAllHaveFailedBefore() {
    UpstreamSnapshot failed = new UpstreamSnapshot(0, 1, 2, 0, 0, 0.2);
    assertThat(pick(0, failed, failed)).isNotEqualTo(-1);
    UpstreamSnapshot worse = new UpstreamSnapshot(0, 1, 2, 0, 0, 0.9);
    assertThat(pick(1, failed, worse)).isEqualTo(0);
  }

  @Test
  void shouldFillAnUpstreamWhenItsLimitIsHigh() {
    UpstreamSnapshot crowded = new UpstreamSnapshot(60, 64, 5, 5, 0, 0);
    assertThat(pick(0, crowded)).isEqualTo(0);
  }

  @Property(tries = 2_000, seed = "10")
  void shouldNeverLetARequestWaitForNothing(
      @ForAll @IntRange(min = 1, max = 400) int latencyA,
      @ForAll @IntRange(min = 1, max = 400) int latencyB,
      @ForAll @IntRange(max = 10) int failuresA,
      @ForAll @IntRange(max = 10) int failuresB,
      @ForAll @IntRange(min = 1, max = 50) int waiting) {
    // Nothing is in flight, so no answer will come that could end the wait.
    List<UpstreamSnapshot> idle =
        List.of(
            new UpstreamSnapshot(0, 1, latencyA, 0, 0, failuresA / 10.0),
            new UpstreamSnapshot(0, 4, latencyB, 0, 0, failuresB / 10.0));
    assertThat(LoadBalancingPolicy.LEAST_EXPECTED_LATENCY.pick(idle, 0, waiting)).isPresent();
  }

  @Property(tries = 500, seed = "9")
  void shouldNeverChooseOneWithoutRoom(
      @ForAll @IntRange(max = 4) int a,
      @ForAll @IntRange(max = 4) int b,
      @ForAll @IntRange(max = 1000) int waiting,
      @ForAll int turn) {
    List<UpstreamSnapshot> views =
        List.of(new UpstreamSnapshot(a, 4, 30, 5, 0, 0), new UpstreamSnapshot(b, 2, 300, 5, 0, 0));
    LoadBalancingPolicy.LEAST_EXPECTED_LATENCY
        .pick(views, turn, waiting)
        .ifPresent(i -> assertThat(views.get(i).hasCapacity()).isTrue());
  }
}
