package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The versions that a scheduler uses while a roll-out is ordered, and without one. */
class SchedulerRolloutTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings RULE = new ServiceSettings("s", "/health", 100, 3_000, 14);
  private static final long ELAPSED_MS = 1_000;

  private final Scheduler scheduler = new Scheduler(SETTINGS, new SplittableRandom(1));
  private final Rollout rollout = new Rollout(new RolloutOrder("s", "v2", 40_000, 7));
  private long number;

  private static UpstreamRegistration upstream(String id, String version) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", 4, false, 0, 1, 0, version);
  }

  private void use(UpstreamRegistration... upstreams) {
    scheduler.updateUpstreams(RULE, List.of(upstreams), 0);
    scheduler.updateRollout(Optional.of(rollout));
  }

  private PlacementRequest request(boolean hedge, String... tried) {
    return new PlacementRequest(
        new PlacementKey(1, ++number), "dc", "r", 1, 300, 300, 1_000, 0, hedge, Set.of(tried));
  }

  private String place(PlacementRequest request, long nowMs) {
    PlacementDecision decision = scheduler.submit(request, nowMs).get(0);
    return decision instanceof PlacementDecision.Placed placed ? end(placed, nowMs) : "none";
  }

  private String end(PlacementDecision.Placed placed, long nowMs) {
    String id = placed.upstream().id();
    scheduler.report(
        new AttemptReport(placed.key(), id, AttemptOutcome.ANSWERED, 20, Optional.empty()), nowMs);
    return id;
  }

  private List<String> placeMany(int count, boolean hedge, String... tried) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(place(request(hedge, tried), i * 20L));
    }
    return ids;
  }

  /** Guards against versions that change a choice without an order. */
  @Test
  void shouldChooseTheSameWithAndWithoutVersionsWhenNoRolloutIsOrdered() {
    var other = new Scheduler(SETTINGS, new SplittableRandom(1));
    scheduler.updateUpstreams(RULE, List.of(upstream("a", ""), upstream("b", "")), 0);
    other.updateUpstreams(RULE, List.of(upstream("a", "v1"), upstream("b", "v2")), 0);
    other.updateRollout(Optional.empty());
    for (int i = 0; i < 200; i++) {
      PlacementRequest request = request(false);
      List<PlacementDecision> expected = scheduler.submit(request, i * 15L);
      assertThat(other.submit(request, i * 15L))
          .usingRecursiveComparison()
          .ignoringFields("upstream.version")
          .isEqualTo(expected);
    }
  }

  /** Guards against a host that uses the new version without knowing the status. */
  @Test
  void shouldPlaceOnOldVersionsOnlyWhenTheStatusIsUnread() {
    use(upstream("old", "v1"), upstream("unknown", ""), upstream("new", "v2"));
    assertThat(placeMany(300, false)).doesNotContain("new", "none");
  }

  @Test
  void shouldPlaceOnTheNewVersionWhenOnlyThatExists() {
    use(upstream("new", "v2"));
    assertThat(placeMany(5, false)).containsOnly("new");
  }

  @Test
  void shouldPlaceLessThanATenthOnTheNewVersionWhileItRuns() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.RUNNING, ELAPSED_MS, true, 0);
    List<String> placed = placeMany(1_000, false);
    assertThat(placed.stream().filter("new"::equals).count()).isBetween(50L, 99L);
    assertThat(placed.subList(0, 10)).doesNotContain("new");
  }

  /** Guards against retries and hedges that exceed the share, or fail on the new version again. */
  @Test
  void shouldKeepRetriesAndHedgesOnOldVersionsWhileItRuns() {
    use(upstream("old", "v1"), upstream("other", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.RUNNING, ELAPSED_MS, true, 0);
    // Leaves credit that the next first placement would use.
    placeMany(60, false);
    assertThat(placeMany(200, true)).doesNotContain("new");
    assertThat(placeMany(200, false, "old")).containsOnly("other");
  }

  /** Guards against requests, retries and probes of a version that was rolled back. */
  @Test
  void shouldUseTheNewVersionForNothingAfterItWasRolledBack() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.ROLLED_BACK, ELAPSED_MS, false, 0);
    assertThat(placeMany(200, false)).containsOnly("old");
    assertThat(placeMany(20, true, "old")).containsOnly("none");
    assertThat(placeMany(20, false, "old")).containsOnly("none");
    assertThat(scheduler.selectProbeTargets(1_000))
        .extracting(UpstreamRegistration::id)
        .doesNotContain("new");
  }

  @Test
  void shouldUseOnlyTheNewVersionAfterSuccess() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.SUCCEEDED, ELAPSED_MS, false, 0);
    assertThat(placeMany(200, false)).containsOnly("new");
    assertThat(placeMany(20, true, "new")).containsOnly("none");
  }

  /** Guards against failures that are not held against the version, or are counted twice. */
  @Test
  void shouldRollBackAfterEightFailuresThatAreReportedTwice() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.RUNNING, ELAPSED_MS, true, 0);
    int failures = 0;
    for (int i = 0; i < 400 && rollout.state() == RolloutState.RUNNING; i++) {
      long nowMs = i * 50L;
      if (scheduler.submit(request(false), nowMs).get(0)
          instanceof PlacementDecision.Placed placed) {
        String id = placed.upstream().id();
        boolean isNew = id.equals("new");
        failures += isNew ? 1 : 0;
        var report =
            new AttemptReport(
                placed.key(),
                id,
                isNew ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                20,
                Optional.empty());
        scheduler.report(report, nowMs + 20);
        scheduler.report(report, nowMs + 20);
      }
    }
    assertThat(rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
    assertThat(failures).isEqualTo(8);
    assertThat(rollout.judge().badAnswers(true)).isEqualTo(8);
  }

  private PlacementDecision.Placed placeOpenOnOld(long nowMs) {
    var placed = (PlacementDecision.Placed) scheduler.submit(request(false), nowMs).get(0);
    if (placed.upstream().id().equals("old")) {
      return placed;
    }
    end(placed, nowMs);
    return placeOpenOnOld(nowMs);
  }

  /** Guards against a success that is written while requests run on the old version. */
  @Test
  void shouldWaitForOpenPlacementsOnTheOldVersionBeforeSuccess() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    rollout.adopt(RolloutState.RUNNING, ELAPSED_MS, true, 0);
    placeMany(1_000, false);
    PlacementDecision.Placed open = placeOpenOnOld(33_000);
    rollout.advance(34_000);
    assertThat(rollout.state()).isEqualTo(RolloutState.PROMOTING);
    assertThat(placeMany(20, false)).containsOnly("new");
    for (long nowMs = 34_100; nowMs <= 35_900; nowMs += 100) {
      rollout.advance(nowMs);
      assertThat(rollout.state()).isEqualTo(RolloutState.PROMOTING);
    }
    end(open, 35_950);
    rollout.advance(35_950);
    assertThat(rollout.state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against a host that takes stopped old upstreams for nothing unusual. */
  @Test
  void shouldSuspectAVerdictWhenAnOldUpstreamIsLostWhileTheStatusIsUnread() {
    use(upstream("old", "v1"), upstream("new", "v2"));
    for (AttemptOutcome outcome : List.of(AttemptOutcome.UNREACHABLE, AttemptOutcome.BROKEN)) {
      long nowMs = 1_000 + outcome.ordinal();
      var placed = (PlacementDecision.Placed) scheduler.submit(request(false), nowMs).get(0);
      assertThat(rollout.isVerdictSuspected(nowMs)).isFalse();
      scheduler.report(
          new AttemptReport(placed.key(), placed.upstream().id(), outcome, 1, Optional.empty()),
          nowMs);
      assertThat(rollout.isVerdictSuspected(nowMs)).isTrue();
    }
  }
}
