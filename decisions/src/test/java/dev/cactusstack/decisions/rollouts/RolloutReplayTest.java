package dev.cactusstack.decisions.rollouts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.site.RolloutState;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Roll-outs of good and bad versions in virtual time, against the bounds of the requirements. */
class RolloutReplayTest {
  private static final long DURATION_MS = RolloutSimulation.DURATION_MS;
  private static final double EXPOSURE_SHARE = 0.1;
  private static final double EXPOSURE_SLACK = 50;
  private static final double BUSY = 90;
  private static final double NEARLY_IDLE = 0.5;
  private static final Map<String, Double> ROUTES =
      new TreeMap<>(Map.of("big", 0.75, "medium", 0.2, "rare", 0.05));
  private static final double FAILURE = Double.POSITIVE_INFINITY;
  private static final RolloutSimulation.Behaviour GOOD =
      (route, elapsedMs, running, random) -> random.nextDouble() < 0.005 ? FAILURE : 1;

  private static RolloutSimulation simulate(
      long seed, double rate, RolloutSimulation.Behaviour behaviour) {
    return new RolloutSimulation(seed, rate, ROUTES, behaviour);
  }

  private static RolloutSimulation run(
      long seed, double rate, RolloutSimulation.Behaviour behaviour) {
    return simulate(seed, rate, behaviour).runUntil(DURATION_MS);
  }

  private static void assertRolledBack(RolloutSimulation simulation) {
    assertThat(simulation.rollout().state())
        .as(simulation.describe())
        .isEqualTo(RolloutState.ROLLED_BACK);
    assertBounds(simulation);
    // Decisions that are on their way when the state changes are the only ones that are late.
    assertThat(simulation.sentToNewAfter(simulation.verdictAtMs()))
        .as(simulation.describe())
        .isZero();
  }

  private static void assertBounds(RolloutSimulation simulation) {
    assertThat((double) simulation.sentToNew())
        .as(simulation.describe())
        .isLessThanOrEqualTo(EXPOSURE_SHARE * simulation.sent() + EXPOSURE_SLACK);
    assertThat(simulation.sentAfterRollbackTime()).as(simulation.describe()).isZero();
  }

  /** Guards against a good version that is rolled back or not promoted by the deadline. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void shouldSucceedByTheDeadlineWhenTheVersionIsGood(long seed) {
    RolloutSimulation simulation = run(seed, BUSY, GOOD);
    assertThat(simulation.rollout().state())
        .as(simulation.describe())
        .isEqualTo(RolloutState.SUCCEEDED);
    assertThat(simulation.verdictAtMs())
        .as(simulation.describe())
        .isBetween(DURATION_MS * 3 / 4, DURATION_MS - 1_000);
    assertThat(simulation.sentToOldAfterSuccess()).as(simulation.describe()).isZero();
  }

  /** Guards against a share that is exceeded, or used up in bursts, before the verdict. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldKeepTheShareAtAnyTimeWhileTheRolloutRuns(long seed) {
    RolloutSimulation simulation = simulate(seed, BUSY, GOOD);
    for (long atMs = 5_000; atMs <= 30_000; atMs += 5_000) {
      simulation.runUntil(atMs);
      assertThat((double) simulation.sentToNew())
          .as("at %d: %s", atMs, simulation.describe())
          .isBetween(0.04 * simulation.sent(), EXPOSURE_SHARE * simulation.sent());
    }
  }

  /** Guards against a bad version that stays until the conclusion. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackAtOnceWhenTheVersionIsBadFromTheStart(long seed) {
    RolloutSimulation simulation =
        run(seed, BUSY, (route, ms, running, random) -> random.nextDouble() < 0.4 ? FAILURE : 1);
    assertRolledBack(simulation);
    assertThat(simulation.verdictAtMs()).as(simulation.describe()).isLessThan(10_000);
    assertThat(simulation.badAnswers()).as(simulation.describe()).isLessThan(20);
  }

  /** Guards against good answers that hide a fault that comes later. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackSoonWhenTheVersionTurnsBadLate(long seed) {
    RolloutSimulation simulation =
        run(
            seed,
            BUSY,
            (route, ms, running, random) -> ms > 20_000 && random.nextDouble() < 0.4 ? FAILURE : 1);
    assertRolledBack(simulation);
    assertThat(simulation.verdictAtMs()).as(simulation.describe()).isLessThan(28_000);
  }

  /** Guards against a fault on a route with little traffic that the other routes hide. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackWhenTheVersionFailsOnASingleRoute(long seed) {
    assertRolledBack(
        run(
            seed,
            BUSY,
            (route, ms, running, random) ->
                route.equals("rare") && random.nextDouble() < 0.5 ? FAILURE : 1));
  }

  /** Guards against slow answers that count as good, because they are not failures. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackWhenTheVersionIsSlowUnderLoadOnly(long seed) {
    assertRolledBack(run(seed, BUSY, (route, ms, running, random) -> running >= 2 ? 5 : 1));
  }

  /** Guards against a version that is promoted without any evidence. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackByTheDeadlineWhenThereIsTooLittleTraffic(long seed) {
    RolloutSimulation simulation = run(seed, NEARLY_IDLE, GOOD);
    assertRolledBack(simulation);
    assertThat(simulation.rollout().reason()).isEqualTo("too_few_answers");
  }

  /** Guards against a scheduler that starts over, or exceeds the share, halfway. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldSucceedByTheDeadlineWhenTheSchedulerChangesHalfway(long seed) {
    RolloutSimulation simulation = simulate(seed, BUSY, GOOD).runUntil(DURATION_MS / 2);
    simulation.changeScheduler();
    simulation.runUntil(31_000);
    assertThat((double) simulation.sentToNew())
        .as(simulation.describe())
        .isLessThanOrEqualTo(EXPOSURE_SHARE * simulation.sent());
    simulation.runUntil(DURATION_MS);
    assertThat(simulation.rollout().state())
        .as(simulation.describe())
        .isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against a fault that goes unnoticed because the evidence was lost with a scheduler. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRollBackWhenTheSchedulerChangesAndTheVersionTurnsBadLate(long seed) {
    RolloutSimulation simulation =
        simulate(
                seed,
                BUSY,
                (route, ms, running, random) ->
                    ms > 22_000 && random.nextDouble() < 0.4 ? FAILURE : 1)
            .runUntil(DURATION_MS / 2);
    simulation.changeScheduler();
    assertRolledBack(simulation.runUntil(DURATION_MS));
  }

  /** Guards against requests that get no upstream once the old version has stopped. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldUseTheNewVersionWhenNoOldUpstreamIsLeft(long seed) {
    RolloutSimulation simulation = simulate(seed, BUSY / 3, GOOD).runUntil(10_000);
    simulation.stopOldUpstreams();
    long before = simulation.sentToNew();
    simulation.runUntil(15_000);
    assertThat(simulation.sentToNew() - before).as(simulation.describe()).isGreaterThan(100);
  }
}
