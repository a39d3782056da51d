package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.PlacementDecision.Placed;
import dev.cactusstack.decisions.placing.PlacementDecision.Queued;
import dev.cactusstack.decisions.placing.PlacementDecision.Rejected;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Placements on upstreams that limit their requests. */
class SchedulerLimitTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings SERVICE = new ServiceSettings("s", "/h", 100, 3_000, 14);
  private static final long LATENCY_OBJECTIVE_MS = 300;

  private final Scheduler scheduler = new Scheduler(SETTINGS, new SplittableRandom(1));
  private long sequenceNumber;

  @BeforeEach
  void useTwoUpstreams() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1), upstream("b", 1)), 0);
    scheduler.updateLimitShare(1, 0);
  }

  private static UpstreamRegistration upstream(String id, long startedAtMs) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", 8, false, 0, startedAtMs, 1);
  }

  private PlacementRequest request(long deadlineMs, boolean hedge, String... excluded) {
    return new PlacementRequest(
        new PlacementKey(1, ++sequenceNumber),
        "dc",
        "r",
        1,
        LATENCY_OBJECTIVE_MS,
        LATENCY_OBJECTIVE_MS,
        deadlineMs,
        0,
        hedge,
        Set.of(excluded));
  }

  private PlacementRequest request(String... excluded) {
    return request(1_000, false, excluded);
  }

  private PlacementDecision submit(PlacementRequest request, long nowMs) {
    return scheduler.submit(request, nowMs).get(0);
  }

  private void limit(String id, double requestsPerSecond, long nowMs) {
    scheduler.recordLimit(
        new UpstreamLimit(id, 1, new RequestLimit(requestsPerSecond, 0, 0)), nowMs);
  }

  private void report(Placed placed, AttemptOutcome outcome, UpstreamNotice notice, long nowMs) {
    scheduler.report(
        new AttemptReport(
            placed.key(), placed.upstream().id(), outcome, 50, Optional.empty(), notice),
        nowMs);
  }

  private Placed place(long nowMs, String... excluded) {
    return (Placed) submit(request(excluded), nowMs);
  }

  private long retryAfterMs(PlacementRequest request, long nowMs) {
    return ((Rejected) submit(request, nowMs)).retryAfterMs();
  }

  @Test
  void shouldCountEachPlacementWhenALimitIsKnown() {
    limit("a", 2, 0);
    Placed counted = place(1_000, "b");
    assertThat(counted.isCounted()).isTrue();
    assertThat(counted.limit()).contains(new RequestLimit(2, 1_100, 1_000));
    assertThat(place(1_000, "b").isCounted()).isTrue();
    assertThat(submit(request("b"), 1_000)).isNotInstanceOf(Placed.class);
    assertThat(place(1_000).isCounted()).isFalse();
  }

  /** Guards against a limit that is forgotten, and a count that starts anew, for a moment away. */
  @Test
  void shouldKeepTheLimitAndItsCountWhenTheUpstreamIsRemovedAndPutBack() {
    limit("a", 2, 0);
    report(place(1_000, "b"), AttemptOutcome.ANSWERED, UpstreamNotice.NONE, 1_040);
    report(place(1_000, "b"), AttemptOutcome.ANSWERED, UpstreamNotice.NONE, 1_040);
    scheduler.updateUpstreams(SERVICE, List.of(upstream("b", 1)), 1_050);
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1), upstream("b", 1)), 1_100);
    assertThat(submit(request("b"), 1_100)).isNotInstanceOf(Placed.class);
    assertThat(place(2_000, "b").isCounted()).isTrue();
  }

  @Test
  void shouldUseTheOtherUpstreamWhenOneHasReachedItsLimit() {
    limit("a", 50, 0);
    List<String> used = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      used.add(place(0).upstream().id());
    }
    assertThat(used).containsOnly("b");
  }

  @Test
  void shouldCountHedgesAndRetries() {
    limit("a", 1, 0);
    assertThat(submit(request(1_000, true, "b"), 1_000)).isInstanceOf(Placed.class);
    assertThat(submit(request(1_000, true, "b"), 1_000)).isInstanceOf(Rejected.class);
  }

  @Test
  void shouldNotUseALimitedUpstreamWithoutAShare() {
    limit("a", 50, 0);
    limit("b", 50, 0);
    scheduler.updateLimitShare(0, 0);
    assertThat(submit(request(), 60_000)).isInstanceOf(Rejected.class);
    assertThat(retryAfterMs(request(), 60_000)).isPositive();
    assertThat(submit(request(1_000, true), 60_000)).isInstanceOf(Rejected.class);
    limit("b", RequestLimit.UNLIMITED, 61_000);
    assertThat(place(61_000).upstream().id()).isEqualTo("b");
  }

  @Test
  void shouldUseAnUpstreamWithoutLimitWhateverTheShare() {
    scheduler.updateLimitShare(0, 0);
    assertThat(place(0).limit()).isEmpty();
  }

  @Test
  void shouldRejectAtOnceWhenNoUpstreamHasRoomInTime() {
    limit("a", 0.5, 0);
    limit("b", 0.25, 0);
    assertThat(retryAfterMs(request(), 100)).isEqualTo(1_900);
    assertThat(scheduler.hasQueuedRequests()).isFalse();
  }

  /** Guards against a queue that promises more than the limits allow. */
  @Test
  void shouldQueueNoMoreThanTheLimitsAllowInTime() {
    limit("a", 10, 0);
    limit("b", 10, 0);
    int queued = 0;
    for (int i = 0; i < 20; i++) {
      List<PlacementDecision> decisions = scheduler.submit(request(), 0);
      queued += decisions.stream().anyMatch(Queued.class::isInstance) ? 1 : 0;
      queued -= decisions.stream().anyMatch(Rejected.class::isInstance) ? 1 : 0;
    }
    assertThat(queued).isBetween(1, 20 * (int) LATENCY_OBJECTIVE_MS / 1_000);
  }

  @Test
  void shouldSpreadTheRetriesAtTheRateOfTheLimits() {
    limit("a", 5, 0);
    assertThat(retryAfterMs(request(100, false, "b"), 0)).isGreaterThanOrEqualTo(200);
    limit("b", 5, 0);
    long first = retryAfterMs(request(100, false), 0);
    long second = retryAfterMs(request(100, false), 0);
    assertThat(second - first).isEqualTo(100);
  }

  @Test
  void shouldPlaceAQueuedRequestWhenTheLimitAllowsIt() {
    limit("a", 10, 0);
    PlacementRequest waiting = request("b");
    assertThat(submit(waiting, 0)).isInstanceOf(Queued.class);
    assertThat(scheduler.tick(80)).isEmpty();
    assertThat(scheduler.tick(100))
        .singleElement()
        .isInstanceOfSatisfying(Placed.class, placed -> assertThat(placed.isCounted()).isTrue());
  }

  @Test
  void shouldGiveTheSameCountedPlacementWhenARequestIsSubmittedAgain() {
    limit("a", 1, 0);
    PlacementRequest request = request("b");
    Placed first = (Placed) submit(request, 1_000);
    Placed again = (Placed) submit(request, 1_040);
    assertThat(again.upstream()).isEqualTo(first.upstream());
    assertThat(again.limit()).isEqualTo(first.limit().map(said -> said.agedBy(40)));
    report(again, AttemptOutcome.UNUSED, UpstreamNotice.NONE, 1_050);
    assertThat(place(1_050, "b").isCounted()).isTrue();
    assertThat(submit(request("b"), 1_050)).isNotInstanceOf(Placed.class);
  }

  /** Guards against a sender that takes a resent decision for a counted one. */
  @Test
  void shouldNotClaimThatAPlacementWasCountedWhenTheLimitBecameKnownLater() {
    PlacementRequest request = request("b");
    assertThat(((Placed) submit(request, 0)).isCounted()).isFalse();
    limit("a", 50, 10);
    assertThat(((Placed) submit(request, 1_000)).isCounted()).isFalse();
  }

  @Test
  void shouldNotGiveBackWhatWasNeverCounted() {
    Placed uncounted = place(0, "b");
    limit("a", 10, 0);
    assertThat(place(100, "b").isCounted()).isTrue();
    report(uncounted, AttemptOutcome.UNUSED, UpstreamNotice.NONE, 110);
    assertThat(submit(request("b"), 110)).isNotInstanceOf(Placed.class);
  }

  @Test
  void shouldGiveBackOnceWhenAPlacementIsReportedUnusedTwiceAndCancelled() {
    limit("a", 2, 0);
    Placed first = place(1_000, "b");
    place(1_000, "b");
    report(first, AttemptOutcome.UNUSED, UpstreamNotice.NONE, 1_010);
    report(first, AttemptOutcome.UNUSED, UpstreamNotice.NONE, 1_010);
    scheduler.cancel(first.key(), 1_010);
    assertThat(place(1_010, "b").isCounted()).isTrue();
    assertThat(submit(request("b"), 1_010)).isNotInstanceOf(Placed.class);
  }

  @Test
  void shouldGiveBackWhenAPlacementIsCancelled() {
    limit("a", 1, 0);
    scheduler.cancel(place(1_000, "b").key(), 1_010);
    assertThat(place(1_010, "b").isCounted()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"ANSWERED", "FAILED", "REFUSED", "UNREACHABLE", "BROKEN", "TIMED_OUT", "ABANDONED"})
  void shouldNotGiveBackWhatMayHaveArrived(AttemptOutcome outcome) {
    limit("a", 0.5, 0);
    report(place(2_000, "b"), outcome, UpstreamNotice.NONE, 2_010);
    assertThat(submit(request("b"), 2_010)).isNotInstanceOf(Placed.class);
  }

  @Test
  void shouldLearnLimitsFromReportsAndProbes() {
    var named = new UpstreamNotice(false, 0, Optional.of(new RequestLimit(1, 50, 0)));
    report(place(0, "b"), AttemptOutcome.ANSWERED, named, 50);
    scheduler.recordNotice(upstream("b", 1), 1, named, 50);
    assertThat(submit(request(), 60)).isInstanceOf(Rejected.class);
  }

  @Test
  void shouldPlaceFreelyAgainWhenTheLimitIsWithdrawn() {
    limit("a", 0, 0);
    Placed trial = place(4_000, "b");
    var withdrawn =
        new UpstreamNotice(false, 0, Optional.of(new RequestLimit(RequestLimit.UNLIMITED, 50, 0)));
    report(trial, AttemptOutcome.ANSWERED, withdrawn, 4_050);
    for (int i = 0; i < 4; i++) {
      Placed free = place(4_100, "b");
      assertThat(free.isCounted()).isFalse();
      assertThat(free.limit()).contains(new RequestLimit(RequestLimit.UNLIMITED, 200, 50));
    }
  }

  @Test
  void shouldStartAnEmptyCountWhenALimitIsNamedAgain() {
    limit("a", 50, 0);
    limit("a", RequestLimit.UNLIMITED, 10_000);
    limit("a", 50, 10_500);
    assertThat(submit(request("b"), 10_500)).isNotInstanceOf(Placed.class);
  }

  @Test
  void shouldIgnoreAnOlderLimitThatArrivesLate() {
    limit("a", 1, 1_000);
    scheduler.recordLimit(new UpstreamLimit("a", 1, new RequestLimit(50, 900, 800)), 1_100);
    assertThat(scheduler.describeUpstream("a", 1_100)).contains(",limit=1.0,tokens=0.1");
    assertThat(scheduler.describeUpstream("b", 1_100)).doesNotContain("limit");
  }

  @Test
  void shouldForgetLimitAndCountWhenTheUpstreamRestarts() {
    limit("a", 0.5, 0);
    Placed former = place(2_000, "b");
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 2), upstream("b", 1)), 2_010);
    assertThat(place(2_010, "b").limit()).isEmpty();
    var named = new UpstreamNotice(false, 0, Optional.of(new RequestLimit(0.5, 50, 0)));
    report(former, AttemptOutcome.ANSWERED, named, 2_020);
    limit("a", 0.5, 2_020);
    assertThat(place(2_020, "b").limit()).isEmpty();
    scheduler.recordLimit(new UpstreamLimit("a", 2, new RequestLimit(10, 0, 0)), 2_030);
    assertThat(submit(request("b"), 2_030)).isNotInstanceOf(Placed.class);
    assertThat(place(2_130, "b").isCounted()).isTrue();
  }

  @Test
  void shouldNeverProbeALimitedUpstream() {
    limit("a", 50, 0);
    for (int i = 0; i < 4; i++) {
      submit(request(), 1_000);
    }
    assertThat(scheduler.selectProbeTargets(1_000))
        .extracting(UpstreamRegistration::id)
        .containsExactly("b");
  }
}
