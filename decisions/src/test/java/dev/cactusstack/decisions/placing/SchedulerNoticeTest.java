package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Placements on upstreams that say that they leave or hold hosts off, and that restart. */
class SchedulerNoticeTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings SERVICE =
      new ServiceSettings("s", "/health", 100, 3_000, 14);

  private final Scheduler scheduler = new Scheduler(SETTINGS, new SplittableRandom(1));
  private long number;

  private static UpstreamRegistration upstream(String id, long startedAtMs) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", 4, false, 0, startedAtMs, 0);
  }

  private static UpstreamRegistration restarted(String id) {
    return upstream(id, 2);
  }

  private PlacementDecision one(PlacementRequest request, long nowMs) {
    return scheduler.submit(request, nowMs).get(0);
  }

  private static String placedOn(PlacementDecision decision) {
    return decision instanceof PlacementDecision.Placed placed
        ? placed.upstream().id()
        : decision.getClass().getSimpleName();
  }

  private static AttemptReport unused(PlacementDecision v, UpstreamNotice notice) {
    String id = ((PlacementDecision.Placed) v).upstream().id();
    return new AttemptReport(v.key(), id, AttemptOutcome.UNUSED, 0, Optional.empty(), notice);
  }

  private PlacementRequest requestOf(int hostHash, long leftMs) {
    return new PlacementRequest(
        new PlacementKey(hostHash, ++number), "dc", "r", 1, 300, 300, leftMs, 0, false, Set.of());
  }

  /** Guards against a scheduler that places on what a sender has to turn down each time. */
  @Test
  void shouldNotPlaceOnAnUpstreamThatHasToldAnyHostThatItLeaves() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    PlacementDecision first = one(requestOf(1, 1_000), 0);
    scheduler.report(unused(first, new UpstreamNotice(true, 0)), 10);
    assertThat(one(requestOf(2, 1_000), 20)).isInstanceOf(PlacementDecision.Rejected.class);
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1), upstream("b", 1)), 30);
    assertThat(placedOn(one(requestOf(2, 1_000), 40))).isEqualTo("b");
  }

  @Test
  void shouldNotPlaceRequestsOfAHostThatIsHeldOff() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    PlacementDecision first = one(requestOf(1, 1_000), 0);
    scheduler.report(unused(first, new UpstreamNotice(false, 20_000)), 10);
    assertThat(placedOn(one(requestOf(2, 1_000), 20))).isEqualTo("a");
    PlacementDecision rejected = one(requestOf(1, 1_000), 20);
    assertThat(rejected)
        .isInstanceOfSatisfying(
            PlacementDecision.Rejected.class, r -> assertThat(r.retryAfterMs()).isEqualTo(19_990));
  }

  @Test
  void shouldQueueARequestWhenTheHoldOffEndsSoon() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    PlacementDecision first = one(requestOf(1, 1_000), 0);
    scheduler.report(unused(first, new UpstreamNotice(false, 50)), 10);
    assertThat(one(requestOf(1, 1_000), 20)).isInstanceOf(PlacementDecision.Queued.class);
    assertThat(scheduler.tick(55)).isEmpty();
    assertThat(scheduler.tick(60)).hasSize(1).first().isInstanceOf(PlacementDecision.Placed.class);
  }

  /** A report that arrives again, or of an unknown placement, still tells what was said. */
  @Test
  void shouldLearnANoticeWhenThePlacementIsNotKnown() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    var report =
        new AttemptReport(
            new PlacementKey(9, 9),
            "a",
            AttemptOutcome.ANSWERED,
            90,
            Optional.empty(),
            new UpstreamNotice(true, 0));
    scheduler.report(report, 10);
    assertThat(one(requestOf(1, 1_000), 20)).isInstanceOf(PlacementDecision.Rejected.class);
  }

  @Test
  void shouldPlaceOnAnUpstreamThatLeftOnceItHasRestarted() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    scheduler.report(unused(one(requestOf(1, 1_000), 0), new UpstreamNotice(true, 0)), 10);
    scheduler.updateUpstreams(SERVICE, List.of(restarted("a")), 20);
    assertThat(placedOn(one(requestOf(1, 1_000), 30))).isEqualTo("a");
  }

  /** Guards against a restarted upstream that gets no requests, because its former start left. */
  @Test
  void shouldIgnoreALateReportOfAFormerStart() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    PlacementDecision reportedOnce = one(requestOf(1, 1_000), 0);
    PlacementDecision reportedTwice = one(requestOf(1, 1_000), 0);
    scheduler.report(unused(reportedTwice, UpstreamNotice.NONE), 5);
    scheduler.updateUpstreams(SERVICE, List.of(restarted("a")), 10);
    scheduler.report(unused(reportedOnce, new UpstreamNotice(true, 20_000)), 20);
    scheduler.report(unused(reportedTwice, new UpstreamNotice(true, 20_000)), 20);
    assertThat(placedOn(one(requestOf(1, 1_000), 30))).isEqualTo("a");
  }

  /** The same, with a time between the two starts in which the upstream was not registered. */
  @Test
  void shouldIgnoreALateReportOfAFormerStartThatWasGoneForAWhile() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1)), 0);
    PlacementDecision first = one(requestOf(1, 1_000), 0);
    scheduler.report(unused(first, UpstreamNotice.NONE), 5);
    scheduler.updateUpstreams(SERVICE, List.of(), 10);
    scheduler.updateUpstreams(SERVICE, List.of(restarted("a")), 20);
    scheduler.report(unused(first, new UpstreamNotice(true, 0)), 30);
    assertThat(placedOn(one(requestOf(1, 1_000), 40))).isEqualTo("a");
  }

  @Test
  void shouldIgnoreAProbeResponseOfAFormerStart() {
    scheduler.updateUpstreams(SERVICE, List.of(restarted("a")), 0);
    scheduler.recordNotice(upstream("a", 1), 1, new UpstreamNotice(true, 0), 10);
    assertThat(placedOn(one(requestOf(1, 1_000), 20))).isEqualTo("a");
    scheduler.recordNotice(restarted("a"), 1, new UpstreamNotice(true, 0), 30);
    assertThat(one(requestOf(1, 1_000), 40)).isInstanceOf(PlacementDecision.Rejected.class);
  }

  /** A decision that was lost on its way rests on an upstream that no longer runs. */
  @Test
  void shouldDecideAgainWhenTheUpstreamHasRestartedSinceThePlacement() {
    scheduler.updateUpstreams(SERVICE, List.of(upstream("a", 1), upstream("b", 1)), 0);
    PlacementRequest request = requestOf(1, 1_000);
    UpstreamRegistration former = ((PlacementDecision.Placed) one(request, 0)).upstream();
    String other = former.id().equals("a") ? "b" : "a";
    scheduler.updateUpstreams(SERVICE, List.of(restarted(former.id()), upstream(other, 1)), 10);
    scheduler.recordNotice(restarted(former.id()), 1, new UpstreamNotice(true, 0), 15);
    assertThat(placedOn(one(request, 20))).isEqualTo(other);
  }
}
