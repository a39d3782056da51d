package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SchedulerTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings RULE = new ServiceSettings("s", "/health", 100, 3_000, 14);

  private final Scheduler scheduler = new Scheduler(SETTINGS, new SplittableRandom(1));
  private long number;

  private static UpstreamRegistration upstream(String id, int slots, long coldForMs) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", slots, false, coldForMs, 1, 0);
  }

  private PlacementRequest request(long onTimeMs, String... tried) {
    return request(onTimeMs, 1_000, tried);
  }

  private PlacementRequest request(long onTimeMs, long leftMs, String... tried) {
    return new PlacementRequest(
        new PlacementKey(1, ++number),
        "dc",
        "r",
        1,
        300,
        onTimeMs,
        leftMs,
        0,
        false,
        Set.of(tried));
  }

  private PlacementDecision one(PlacementRequest ask, long nowMs) {
    return scheduler.submit(ask, nowMs).get(0);
  }

  private static AttemptReport end(PlacementDecision v, AttemptOutcome end, int pacePercent) {
    String id = ((PlacementDecision.Placed) v).upstream().id();
    var load = new ReportedLoad(0, 0, 2, pacePercent);
    return new AttemptReport(v.key(), id, end, 90, Optional.of(load));
  }

  private static String placedOn(PlacementDecision v) {
    return v instanceof PlacementDecision.Placed p
        ? p.upstream().id()
        : v.getClass().getSimpleName();
  }

  @Test
  void shouldNeverHoldMoreThanTheSlotsWhenRequestsKeepArriving() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0)), 0);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      counts.merge(placedOn(one(request(300), 0)), 1, Integer::sum);
    }
    assertThat(counts).containsEntry("a", 2).containsEntry("b", 2).containsEntry("Queued", 2);
  }

  /** Guards against slots that are used twice because their upstream was away for a moment. */
  @Test
  void shouldKeepTheHeldSlotsWhenAnUpstreamIsRemovedAndPutBack() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    PlacementDecision running = one(request(300), 0);
    scheduler.updateUpstreams(RULE, List.of(), 100);
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 200);
    assertThat(one(request(300), 200)).isInstanceOf(PlacementDecision.Queued.class);
    List<PlacementDecision> next =
        scheduler.report(end(running, AttemptOutcome.ANSWERED, 100), 250);
    assertThat(next).singleElement().satisfies(d -> assertThat(placedOn(d)).isEqualTo("a"));
  }

  /**
   * Guards against a slot that stays held because its request ended while the upstream was away.
   */
  @Test
  void shouldReleaseTheSlotWhenAnAttemptEndsWhileItsUpstreamIsAway() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    PlacementRequest first = request(300);
    PlacementDecision running = one(first, 0);
    scheduler.updateUpstreams(RULE, List.of(), 100);
    assertThat(one(first, 120)).isInstanceOf(PlacementDecision.Rejected.class);
    scheduler.report(end(running, AttemptOutcome.ANSWERED, 100), 150);
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 200);
    assertThat(placedOn(one(request(300), 200))).isEqualTo("a");
  }

  /** Guards against a burst on a cold upstream each time it is removed and put back. */
  @Test
  void shouldKeepTheWarmupLimitWhenAColdUpstreamIsRemovedAndPutBack() {
    List<UpstreamRegistration> cold = List.of(upstream("a", 100, 3_000));
    int placed = 0;
    for (long now = 0; now < 1_000; now += 10) {
      scheduler.updateUpstreams(RULE, now % 200 == 100 ? List.of() : cold, now);
      PlacementDecision decision = one(request(0), now);
      if (decision instanceof PlacementDecision.Placed) {
        placed++;
        scheduler.report(end(decision, AttemptOutcome.ANSWERED, 100), now + 5);
      }
    }
    assertThat(placed).isEqualTo(SETTINGS.warmupRequestLimit(RULE.warmupRequestsPerSecond()));
  }

  /** Guards against memory that grows with upstreams that never come back. */
  @Test
  void shouldForgetAnUpstreamWhenItStaysAway() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    scheduler.updateUpstreams(RULE, List.of(), 100);
    long back = 100 + UpstreamPool.ABSENT_RETENTION_MS + 1;
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), back);
    assertThat(placedOn(one(request(300), back))).isEqualTo("a");
  }

  @Test
  void shouldPlaceTheQueuedRequestWhenAnAttemptEnds() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    PlacementDecision first = one(request(300), 0);
    PlacementRequest waiting = request(300);
    one(waiting, 0);
    List<PlacementDecision> next = scheduler.report(end(first, AttemptOutcome.ANSWERED, 100), 50);
    assertThat(next).hasSize(1);
    assertThat(next.get(0).key()).isEqualTo(waiting.key());
  }

  @Test
  void shouldReleaseTheSlotOnceWhenAnAttemptIsReportedTwice() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    AttemptReport ended = end(one(request(0), 0), AttemptOutcome.ANSWERED, 100);
    scheduler.report(ended, 10);
    PlacementDecision second = one(request(0), 20);
    scheduler.report(ended, 30);
    assertThat(placedOn(second)).isEqualTo("a");
    assertThat(one(request(0), 40)).isNotInstanceOf(PlacementDecision.Placed.class);
  }

  @Test
  void shouldReleaseTheSlotWhenThePlacedRequestIsCancelled() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    PlacementRequest lost = request(0);
    one(lost, 0);
    scheduler.cancel(lost.key(), 1);
    assertThat(placedOn(one(request(0), 1))).isEqualTo("a");
  }

  @Test
  void shouldRejectImmediatelyWhenALateRequestWouldWaitTooLong() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    assertThat(one(request(0, 50), 0)).isInstanceOf(PlacementDecision.Rejected.class);
  }

  @Test
  void shouldRejectTheOldestWhenMoreAreQueuedThanCanMeetTheirObjective() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    List<PlacementRequest> waiting = new ArrayList<>();
    List<PlacementKey> turnedAway = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      PlacementRequest a = request(300);
      waiting.add(a);
      scheduler.submit(a, i).stream()
          .filter(PlacementDecision.Rejected.class::isInstance)
          .forEach(v -> turnedAway.add(v.key()));
    }
    assertThat(turnedAway).isNotEmpty().first().isEqualTo(waiting.get(0).key());
    assertThat(turnedAway).doesNotContain(waiting.get(9).key());
  }

  @Test
  void shouldAssignDistinctRetryTimesWhenSeveralRequestsAreRejected() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    List<Long> times = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      times.add(((PlacementDecision.Rejected) one(request(0, 50), 0)).retryAfterMs());
    }
    assertThat(times).doesNotHaveDuplicates().isSorted();
  }

  @Test
  void shouldRejectARequestWhenItCanNoLongerMeetItsObjectiveAndOthersCan() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    PlacementRequest old = request(150);
    one(old, 0);
    one(request(300), 90);
    assertThat(scheduler.tick(95)).extracting(PlacementDecision::key).containsExactly(old.key());
  }

  @Test
  void shouldQueueForABetterSlotWhenTheFreeOneWouldMissTheObjective() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0), upstream("b", 1, 0)), 0);
    PlacementDecision first = one(request(300), 0);
    PlacementDecision second = one(request(300), 0);
    scheduler.report(end(first, AttemptOutcome.ANSWERED, 700), 90);
    PlacementRequest next = request(300);
    assertThat(one(next, 95)).isInstanceOf(PlacementDecision.Queued.class);
    assertThat(scheduler.report(end(second, AttemptOutcome.ANSWERED, 100), 100))
        .extracting(PlacementDecision::key)
        .containsExactly(next.key());
  }

  @Test
  void shouldUseASlowUpstreamWhenTheObjectiveIsMissedAnyway() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    scheduler.report(end(one(request(300), 0), AttemptOutcome.ANSWERED, 700), 90);
    assertThat(placedOn(one(request(0, 2_000), 95))).isEqualTo("a");
  }

  @Test
  void shouldAvoidAnUpstreamWhenItReportedASlowdown() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0)), 0);
    PlacementDecision first = one(request(0), 0);
    String slow = placedOn(first);
    scheduler.report(end(first, AttemptOutcome.ANSWERED, 700), 100);
    assertThat(placedOn(one(request(0), 110))).isNotEqualTo(slow);
  }

  @Test
  void shouldAvoidAnUpstreamWhenARequestOnItIsOverdue() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 4, 0), upstream("b", 4, 0)), 0);
    String hanging = placedOn(one(request(0), 0));
    for (int i = 0; i < 3; i++) {
      assertThat(placedOn(one(request(0), 1_000 + i))).isNotEqualTo(hanging);
    }
  }

  @Test
  void shouldBackOffAndTryAgainWhenAnUpstreamKeepsFailing() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 4, 0), upstream("b", 4, 0)), 0);
    for (int i = 0; i < 2; i++) {
      PlacementRequest a = request(0, "b");
      scheduler.report(end(one(a, i), AttemptOutcome.BROKEN, 100), i);
    }
    List<String> soon = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      soon.add(placedOn(one(request(0), 10)));
    }
    assertThat(soon).doesNotContain("a");
    assertThat(placedOn(one(request(0, "b"), 600))).isEqualTo("a");
  }

  @Test
  void shouldUseUpstreamsInBackoffWhenThereAreNoOthers() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 4, 0)), 0);
    for (int i = 0; i < 5; i++) {
      scheduler.report(end(one(request(0), i), AttemptOutcome.REFUSED, 100), i);
    }
    assertThat(placedOn(one(request(0), 6))).isEqualTo("a");
  }

  @Test
  void shouldKeepItsShareOfTheWarmupLimitWhenAllUpstreamsAreCold() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 100, 3_000)), 0);
    int sent = 0;
    for (long now = 0; now < 1_000; now += 10) {
      PlacementDecision v = one(request(0), now);
      if (v instanceof PlacementDecision.Placed) {
        sent++;
        scheduler.report(end(v, AttemptOutcome.ANSWERED, 100), now + 5);
      }
    }
    assertThat(sent).isEqualTo(SETTINGS.warmupRequestLimit(RULE.warmupRequestsPerSecond()));
    assertThat(sent * 2).isLessThanOrEqualTo((int) (14 * 1.5 + 5));
  }

  @Test
  void shouldPreferTheRequestingHostsDataCentreWhenTheBodyIsLarge() {
    UpstreamRegistration far =
        new UpstreamRegistration(
            "far", "s", new Address("127.0.0.1", 80), "dc2", 4, false, 0, 1, 0);
    scheduler.updateUpstreams(RULE, List.of(upstream("near", 4, 0), far), 0);
    var upload =
        new PlacementRequest(
            new PlacementKey(1, 1), "dc2", "r", 1, 300, 300, 1_000, 60_000, false, Set.of());
    assertThat(placedOn(one(upload, 0))).isEqualTo("far");
  }

  private PlacementDecision submitHedge(long nowMs, String... tried) {
    var key = new PlacementKey(1, ++number);
    return one(
        new PlacementRequest(key, "dc", "r", 1, 300, 300, 1_000, 0, true, Set.of(tried)), nowMs);
  }

  @Test
  void shouldReturnTheSameDecisionWhenARequestIsSubmittedAgain() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0), upstream("b", 1, 0)), 0);
    PlacementRequest first = request(300);
    PlacementRequest second = request(300);
    PlacementRequest third = request(300);
    PlacementDecision place = one(first, 0);
    one(second, 0);
    assertThat(one(third, 0)).isInstanceOf(PlacementDecision.Queued.class);
    assertThat(one(first, 30)).isEqualTo(place);
    assertThat(scheduler.submit(third, 30))
        .containsExactly(new PlacementDecision.Queued(third.key()));
    assertThat(scheduler.report(end(place, AttemptOutcome.ANSWERED, 100), 90))
        .extracting(PlacementDecision::key)
        .containsExactly(third.key());
  }

  @Test
  void shouldPlaceAHedgeWhenASlotIsSpare() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0)), 0);
    assertThat(placedOn(submitHedge(0, "a"))).isEqualTo("b");
  }

  @Test
  void shouldRejectAHedgeImmediatelyWhenNoSlotIsSpare() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    one(request(300), 0);
    assertThat(submitHedge(0)).isInstanceOf(PlacementDecision.Rejected.class);
    assertThat(scheduler.hasQueuedRequests()).isFalse();
  }

  @Test
  void shouldPreferAnUpstreamWhenTheHostHasAConnectionToIt() {
    scheduler.updateUpstreams(
        RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0), upstream("c", 2, 0)), 0);
    PlacementDecision first = one(request(300), 0);
    scheduler.report(end(first, AttemptOutcome.ANSWERED, 100), 90);
    scheduler.selectProbeTargets(90);
    for (String u : List.of("a", "b", "c")) {
      scheduler.recordProbeResponse(u, new ReportedLoad(0, 0, 2, 100), 95);
    }
    assertThat(placedOn(one(request(300), 100))).isEqualTo(placedOn(first));
  }

  @Test
  void shouldRejectWhenEveryUpstreamIsExcluded() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 4, 0)), 0);
    assertThat(one(request(300, "a"), 0)).isInstanceOf(PlacementDecision.Rejected.class);
  }

  @Test
  void shouldServeRequestsFirstThatCanMeetTheirObjectiveWhenSlotsAreScarce() {
    scheduler.updateUpstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    PlacementDecision running = one(request(300), 0);
    PlacementRequest late = request(0);
    PlacementRequest urgent = request(300);
    one(late, 0);
    one(urgent, 0);
    List<PlacementDecision> next =
        scheduler.report(end(running, AttemptOutcome.ANSWERED, 100), 100);
    assertThat(next).extracting(PlacementDecision::key).containsExactly(urgent.key());
  }

  /** Guards against hosts that lose their scheduler and then all overrun the same upstream. */
  @Test
  void shouldChooseDifferentUpstreamsWhenManyHostsDecideAloneWithoutKnowingAnyLoad() {
    List<UpstreamRegistration> upstreams = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      upstreams.add(upstream("u" + i, 4, 0));
    }
    Map<String, Integer> placements = new HashMap<>();
    for (int host = 0; host < 36; host++) {
      var alone = new Scheduler(SETTINGS, new SplittableRandom(host));
      alone.updateUpstreams(RULE, upstreams, 0);
      placements.merge(placedOn(alone.submit(request(300), 0).get(0)), 1, Integer::sum);
    }
    assertThat(placements.values()).allMatch(count -> count <= 4 * 2);
    assertThat(placements).hasSizeGreaterThanOrEqualTo(10);
  }

  /**
   * Guards against rejections under overload while an upstream that is only slow has free slots.
   */
  @Test
  void shouldPlaceTheOldestOnASlowUpstreamWhenTooManyRequestsAreQueued() {
    scheduler.updateUpstreams(RULE, List.of(upstream("fast", 1, 0), upstream("slow", 1, 0)), 0);
    scheduler.recordProbeResponse("slow", new ReportedLoad(0, 0, 1, 700), 0);
    assertThat(placedOn(one(request(300), 0))).isEqualTo("fast");
    PlacementRequest oldest = request(300);
    assertThat(one(oldest, 0)).isInstanceOf(PlacementDecision.Queued.class);
    List<PlacementDecision> decisions = new ArrayList<>();
    for (int i = 0; i < 10 && decisions.size() < 2; i++) {
      decisions = new ArrayList<>(scheduler.submit(request(300), 0));
    }
    PlacementDecision second = decisions.get(1);
    assertThat(second.key()).isEqualTo(oldest.key());
    assertThat(placedOn(second)).isEqualTo("slow");
  }
}
