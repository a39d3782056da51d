package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadBalancingPolicyTest {
  private static final UpstreamSnapshot FAST = new UpstreamSnapshot(1, 4, 40, 10, 0, 0);
  private static final UpstreamSnapshot FULL = new UpstreamSnapshot(4, 4, 40, 10, 0, 0);

  private static int pick(int waiting, UpstreamSnapshot... upstreams) {
    return LoadBalancingPolicy.LEAST_EXPECTED_LATENCY
        .pick(List.of(upstreams), 0, waiting)
        .orElse(-1);
  }

  @Test
  void shouldAvoidAnUpstreamWhenItsOldestRequestIsOverdue() {
    UpstreamSnapshot overdue = new UpstreamSnapshot(1, 4, 40, 300, 0, 0);
    assertThat(pick(1, overdue, FAST)).isEqualTo(1);
  }

  @Test
  void shouldWaitWhenOnlyASlowUpstreamHasCapacity() {
    UpstreamSnapshot slow = new UpstreamSnapshot(0, 4, 400, 0, 0, 0);
    assertThat(pick(1, slow, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldUseASlowUpstreamWhenTheQueueWaitIsLonger() {
    UpstreamSnapshot slow = new UpstreamSnapshot(0, 4, 400, 0, 0, 0);
    assertThat(pick(200, slow, FULL, FULL)).isEqualTo(0);
  }

  @Test
  void shouldSendOneTrialRequestWhenASlowUpstreamHasBeenIdle() {
    UpstreamSnapshot recovering = new UpstreamSnapshot(0, 4, 400, 0, 2_000, 0);
    UpstreamSnapshot onTrial = new UpstreamSnapshot(1, 4, 400, 5, 0, 0);
    assertThat(pick(1, recovering, FULL, FULL)).isEqualTo(0);
    assertThat(pick(1, onTrial, FULL, FULL)).isEqualTo(-1);
  }

  @Test
  void shouldNotPreferAnUpstreamWhenItFailsFast() {
    UpstreamSnapshot failing = new UpstreamSnapshot(0, 4, 0.2, 0, 0, 0.9);
    assertThat(pick(1, failing, FAST, FAST)).isNotEqualTo(0);
  }

  @Test
  void shouldPickAnUpstreamWhenAllHaveFailedBefore() {
    UpstreamSnapshot failed = new UpstreamSnapshot(0, 1, 2, 0, 0, 0.2);
    assertThat(pick(0, failed, failed)).isNotEqualTo(-1);
    UpstreamSnapshot worse = new UpstreamSnapshot(0, 1, 2, 0, 0, 0.9);
    assertThat(pick(1, failed, worse)).isEqualTo(0);
  }

  @Test
  void shouldFillAnUpstreamWhenItsLimitIsHigh() {
    UpstreamSnapshot nearlyFull = new UpstreamSnapshot(60, 64, 5, 5, 0, 0);
    assertThat(pick(0, nearlyFull)).isEqualTo(0);
  }

  @Property(tries = 2_000, seed = "10")
  void shouldPickAnUpstreamWhenNoRequestIsInFlight(
      @ForAll @IntRange(min = 1, max = 400) int latencyA,
      @ForAll @IntRange(min = 1, max = 400) int latencyB,
      @ForAll @IntRange(max = 10) int failuresA,
      @ForAll @IntRange(max = 10) int failuresB,
      @ForAll @IntRange(min = 1, max = 50) int waiting) {
    // No request is in flight, so no response will arrive that could end the wait.
    List<UpstreamSnapshot> idle =
        List.of(
            new UpstreamSnapshot(0, 1, latencyA, 0, 0, failuresA / 10.0),
            new UpstreamSnapshot(0, 4, latencyB, 0, 0, failuresB / 10.0));
    assertThat(LoadBalancingPolicy.LEAST_EXPECTED_LATENCY.pick(idle, 0, waiting)).isPresent();
  }

  @Property(tries = 500, seed = "9")
  void shouldPickOnlyAnUpstreamWithCapacityWhenLoadVaries(
      @ForAll @IntRange(max = 4) int inFlightA,
      @ForAll @IntRange(max = 4) int inFlightB,
      @ForAll @IntRange(max = 1000) int waiting,
      @ForAll int rotation) {
    List<UpstreamSnapshot> upstreams =
        List.of(
            new UpstreamSnapshot(inFlightA, 4, 30, 5, 0, 0),
            new UpstreamSnapshot(inFlightB, 2, 300, 5, 0, 0));
    LoadBalancingPolicy.LEAST_EXPECTED_LATENCY
        .pick(upstreams, rotation, waiting)
        .ifPresent(i -> assertThat(upstreams.get(i).hasCapacity()).isTrue());
  }
}
