package dev.cactusstack.decisions.rollouts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
import org.junit.jupiter.api.Test;

/** The states of one roll-out on one host. */
class RolloutTest {
  private static final long DURATION_MS = 40_000;

  private final Rollout rollout = new Rollout(new RolloutOrder("s", "v2", DURATION_MS, 7));

  private void recordResponses(boolean isNewVersion, int count, long nowMs) {
    for (int i = 0; i < count; i++) {
      rollout.recordPlacement(isNewVersion, true);
      rollout.recordAnswer(
          isNewVersion, new Answer("r", Answer.Kind.RESPONSE, 50, 1, false), nowMs);
    }
  }

  private void advanceBetween(long startMs, long endMs) {
    for (long nowMs = startMs; nowMs <= endMs; nowMs += 100) {
      rollout.advance(nowMs);
    }
  }

  /** Guards against a pause that counts as promotion while a successor uses the old version. */
  @Test
  void shouldRestartThePromotionWhenTheHostWasPaused() {
    rollout.adopt(RolloutState.RUNNING, 0, true, 0);
    recordResponses(false, 100, 1_000);
    recordResponses(true, 20, 1_000);
    advanceBetween(100, 32_100);
    assertThat(rollout.state()).isEqualTo(RolloutState.PROMOTING);
    rollout.advance(36_000);
    assertThat(rollout.state()).isEqualTo(RolloutState.PROMOTING);
    advanceBetween(36_100, 37_400);
    assertThat(rollout.state()).isEqualTo(RolloutState.PROMOTING);
    advanceBetween(37_500, 37_600);
    assertThat(rollout.state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against a conclusion after the deadline because the role was lost for a moment. */
  @Test
  void shouldKeepTheTimeOfTheConclusionWhenTheRoleIsRegained() {
    rollout.adopt(RolloutState.RUNNING, 0, true, 0);
    recordResponses(false, 100, 1_000);
    advanceBetween(100, 34_000);
    rollout.suspend();
    rollout.adopt(RolloutState.RUNNING, 34_500, true, 34_500);
    advanceBetween(34_600, 35_000);
    assertThat(rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
    assertThat(rollout.reason()).isEqualTo("too_few_answers");
  }

  /** Guards against a burst on the new version when a host becomes the scheduler. */
  @Test
  void shouldStartWithoutCreditWhenTheHostPlacedBeforeItBecameTheScheduler() {
    recordResponses(false, 100, 0);
    rollout.adopt(RolloutState.RUNNING, 1_000, true, 0);
    assertThat(rollout.isNewVersionDue("r")).isFalse();
    recordResponses(false, 13, 0);
    assertThat(rollout.isNewVersionDue("r")).isTrue();
  }

  /** Guards against slow answers of cold upstreams that count as good ones. */
  @Test
  void shouldNotCountSlowAnswersOfColdUpstreams() {
    rollout.adopt(RolloutState.RUNNING, 0, true, 0);
    recordResponses(false, 20, 0);
    rollout.recordAnswer(true, new Answer("r", Answer.Kind.RESPONSE, 500, 1, true), 0);
    assertThat(rollout.judge().answers(true)).isZero();
    rollout.recordAnswer(true, new Answer("r", Answer.Kind.RESPONSE, 50, 1, true), 0);
    assertThat(rollout.judge().answers(true)).isEqualTo(1);
    assertThat(rollout.judge().badAnswers(true)).isZero();
  }
}
