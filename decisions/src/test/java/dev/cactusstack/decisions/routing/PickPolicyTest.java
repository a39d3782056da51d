package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class PickPolicyTest {
  private static final UpstreamView QUICK = new UpstreamView(1, 4, 40, 10, 0, 0);
  private static final UpstreamView FULL = new UpstreamView(4, 4, 40, 10, 0, 0);

  private static int pick(int waiting, UpstreamView... views) {
    return PickPolicy.EXPECTED_ANSWER.pick(List.of(views), 0, waiting).orElse(-1);
  }

  @Test
  void shouldAvoidAnUpstreamWhoseOldestRequestIsLate() {
    UpstreamView late = new UpstreamView(1, 4, 40, 300, 0, 0);
    assertThat(pick(1, late, QUICK)).isEqualTo(1);
  }

  @Test
  void shouldWaitWhenOnlyASlowUpstreamHasRoom() {
    UpstreamView slow = new UpstreamView(0, 4, 400, 0, 0, 0);
    assertThat(pick(1, slow, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldUseASlowUpstreamWhenTheQueueIsLonger() {
    UpstreamView slow = new UpstreamView(0, 4, 400, 0, 0, 0);
    assertThat(pick(200, slow, FULL, FULL)).isEqualTo(0);
  }

  @Test
  void shouldTryASlowUpstreamOnceWhenItHasBeenQuiet() {
    UpstreamView quiet = new UpstreamView(0, 4, 400, 0, 2_000, 0);
    UpstreamView onTrial = new UpstreamView(1, 4, 400, 5, 0, 0);
    assertThat(pick(1, quiet, FULL, FULL)).isEqualTo(0);
    assertThat(pick(1, onTrial, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldNotBeDrawnToAnUpstreamThatFailsFast() {
    UpstreamView failing = new UpstreamView(0, 4, 0.2, 0, 0, 0.9);
    assertThat(pick(1, failing, QUICK, QUICK)).isNotEqualTo(0);
  }

  @Test
  void shouldChooseOneWhenAllHaveFailedBefore() {
    UpstreamView failed = new UpstreamView(0, 1, 2, 0, 0, 0.2);
    assertThat(pick(0, failed, failed)).isNotEqualTo(-1);
    UpstreamView worse = new UpstreamView(0, 1, 2, 0, 0, 0.9);
    assertThat(pick(1, failed, worse)).isEqualTo(0);
  }

  @Test
  void shouldFillAnUpstreamWhenItsLimitIsHigh() {
    UpstreamView crowded = new UpstreamView(60, 64, 5, 5, 0, 0);
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
    List<UpstreamView> idle =
        List.of(
            new UpstreamView(0, 1, latencyA, 0, 0, failuresA / 10.0),
            new UpstreamView(0, 4, latencyB, 0, 0, failuresB / 10.0));
    assertThat(PickPolicy.EXPECTED_ANSWER.pick(idle, 0, waiting)).isPresent();
  }

  @Property(tries = 500, seed = "9")
  void shouldNeverChooseOneWithoutRoom(
      @ForAll @IntRange(max = 4) int a,
      @ForAll @IntRange(max = 4) int b,
      @ForAll @IntRange(max = 1000) int waiting,
      @ForAll int turn) {
    List<UpstreamView> views =
        List.of(new UpstreamView(a, 4, 30, 5, 0, 0), new UpstreamView(b, 2, 300, 5, 0, 0));
    PickPolicy.EXPECTED_ANSWER
        .pick(views, turn, waiting)
        .ifPresent(i -> assertThat(views.get(i).hasRoom()).isTrue());
  }
}
