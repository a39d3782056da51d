package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.registrations.RegistrationAge;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamsControllerTest {
  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private Set<String> evacuated = Set.of();
  private long suspendedMs;
  private boolean othersRead;
  private final UpstreamsController controller =
      new UpstreamsController(
          time.loop(),
          time::nowMs,
          () -> time.nowMs() + suspendedMs,
          new EventLog(OutputStream.nullOutputStream()),
          store,
          () ->
              Optional.of(
                  new SiteConfiguration(
                      1, 1, List.of(), Map.of(), CallerLimits.DEFAULT, evacuated)),
          () -> othersRead);
  private int taskRuns;

  private static UpstreamRegistration upstream(
      String id, boolean leaving, long warmupMs, long startedAtMs) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", 4, leaving, warmupMs, startedAtMs, 0);
  }

  private static UpstreamChange change(
      long revision, boolean complete, UpstreamRegistration... registrations) {
    Map<String, Optional<UpstreamRegistration>> registrationsById = new HashMap<>();
    for (UpstreamRegistration registration : registrations) {
      registrationsById.put(registration.id(), Optional.of(registration));
    }
    return new UpstreamChange(revision, complete, registrationsById, List.of());
  }

  private static UpstreamChange removal(long revision, String id) {
    return new UpstreamChange(revision, false, Map.of(id, Optional.empty()), List.of());
  }

  private List<String> usableIds() {
    return controller.usableUpstreams("s").stream().map(UpstreamRegistration::id).sorted().toList();
  }

  /** Uses the controller for another host, so that it continues to poll. */
  private void runTask() {
    controller.keepFresh();
    controller.runWhenFresh(() -> taskRuns++);
  }

  private void completeRead(int call, UpstreamChange result) {
    store.upstreamReads.get(call).complete(result);
  }

  @Test
  void shouldRunTheTaskWhenTheRegistrationsAreRead() {
    runTask();
    assertThat(taskRuns).isZero();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(taskRuns).isEqualTo(1);
    assertThat(usableIds()).containsExactly("a");
  }

  /** Guards against changes that are missed while this host could not reach the store. */
  @Test
  void shouldReportThatTheStoreIsRegainedWhenAReadSucceedsAfterAFailure() {
    List<String> events = new ArrayList<>();
    controller.onStoreRead(
        revisions -> events.add("others " + revisions), () -> events.add("regained"));
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    failRead(1);
    time.run(710);
    completeRead(2, new UpstreamChange(13, false, Map.of(), List.of(13L, 12L)));
    assertThat(events).containsExactly("others []", "regained", "others [13, 12]");
  }

  @Test
  void shouldRunTheTaskAfterTheMaximumWaitWhenTheStoreDoesNotRespond() {
    controller.runWhenFresh(() -> taskRuns++);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(RegistrationAge.MAX_FOR_PLACEMENT_MS);
    controller.runWhenFresh(() -> taskRuns++);
    assertThat(taskRuns).isEqualTo(1);
    time.run(200);
    assertThat(taskRuns).isEqualTo(2);
  }

  /**
   * Guards against requests that are rejected while a slow store is about to tell the upstreams.
   */
  @Test
  void shouldWaitLongerForTheFirstReadWhenTheStoreIsSlow() {
    runTask();
    time.run(400);
    assertThat(taskRuns).isZero();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(taskRuns).isEqualTo(1);
  }

  /** Guards against a request to an upstream that began to leave long before, unread so far. */
  @Test
  void shouldWaitLongerForAReadWhenTheRegistrationsAreOlderThanADrain() {
    controller.runWhenFresh(() -> taskRuns++);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(16_000);
    controller.runWhenFresh(() -> assertThat(usableIds()).isEmpty());
    controller.runWhenFresh(() -> taskRuns++);
    time.run(400);
    assertThat(taskRuns).isEqualTo(1);
    completeRead(1, change(11, false, upstream("a", true, 0, 1)));
    assertThat(taskRuns).isEqualTo(2);
  }

  @Test
  void shouldRunTheTaskWithoutUpstreamsWhenTheFirstReadTakesTooLong() {
    runTask();
    time.run(650);
    assertThat(taskRuns).isEqualTo(1);
  }

  /** Guards against a scheduler that does not respond in time because each read takes 400 ms. */
  @Test
  void shouldRunTasksImmediatelyWhenItPollsASlowStore() {
    runTask();
    time.run(400);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    int call = 1;
    for (int i = 0; i < 8; i++) {
      time.run(400);
      int runsBefore = taskRuns;
      runTask();
      assertThat(taskRuns).isEqualTo(runsBefore + 1);
      if (call < store.upstreamReads.size() && i % 2 == 1) {
        completeRead(call++, change(10 + call, false));
      }
    }
  }

  @Test
  void shouldStopPollingWhenNoLongerInUse() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    for (int i = 1; i <= 5; i++) {
      time.run(710);
      assertThat(store.upstreamReads).hasSize(i + 1);
      completeRead(i, change(10 + i, false));
    }
    time.run(5_000);
    int calls = store.upstreamReads.size();
    time.run(5_000);
    assertThat(store.upstreamReads).hasSize(calls);
  }

  @Test
  void shouldExcludeAnUpstreamWhenItIsLeavingOrItsDataCentreIsEvacuated() {
    runTask();
    completeRead(0, change(10, true, upstream("a", true, 0, 1), upstream("b", false, 0, 1)));
    assertThat(usableIds()).containsExactly("b");
    evacuated = Set.of("dc");
    assertThat(usableIds()).isEmpty();
  }

  @Test
  void shouldRemoveAnUpstreamImmediatelyWhenItsRegistrationIsRemoved() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    completeRead(1, removal(11, "a"));
    assertThat(usableIds()).isEmpty();
  }

  /** Reads with the revision increasing as it does while upstreams renew their registrations. */
  private int readWhileUpstreamsRenew(UpstreamRegistration first) {
    runTask();
    completeRead(0, change(100, true, first));
    for (int call = 1; call <= 3; call++) {
      time.run(710);
      completeRead(call, change(100 + 70L * call, false));
    }
    return 4;
  }

  private void failReads(int firstCall, int count) {
    for (int call = firstCall; call < firstCall + count; call++) {
      runTask();
      time.run(710);
      failRead(call);
    }
  }

  private void failRead(int call) {
    store
        .upstreamReads
        .get(call)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
  }

  @Test
  void shouldRetainAnUpstreamBrieflyWhenItsRegistrationExpiredDuringAnOutage() {
    int call = readWhileUpstreamsRenew(upstream("a", false, 0, 1));
    failReads(call, 6);
    runTask();
    time.run(710);
    completeRead(call + 6, removal(320, "a"));
    assertThat(usableIds()).containsExactly("a");
    time.run(2_300);
    assertThat(usableIds()).isEmpty();
  }

  /**
   * Guards against requests to an upstream that left while only this host could not reach the
   * store: other hosts read it meanwhile.
   */
  @Test
  void shouldRemoveAnUpstreamImmediatelyWhenTheStoreWasAvailableToOthers() {
    int call = readWhileUpstreamsRenew(upstream("a", false, 0, 1));
    othersRead = true;
    failReads(call, 6);
    runTask();
    time.run(710);
    completeRead(call + 6, removal(320, "a"));
    assertThat(usableIds()).isEmpty();
  }

  /** Guards against a sender that takes a lapsed registration for one that was just read. */
  @Test
  void shouldReturnTheAgeOfALapsedRegistrationFromBeforeTheOutage() {
    int call = readWhileUpstreamsRenew(upstream("a", false, 0, 1));
    failReads(call, 6);
    runTask();
    time.run(710);
    completeRead(call + 6, removal(320, "a"));
    assertThat(RegistrationAge.isTooOldForPlacement(controller.ageMs())).isFalse();
    assertThat(RegistrationAge.isTooOldForPlacement(controller.ageMs("a"))).isTrue();
  }

  /**
   * Guards against a host that takes its own connection, which went silent at the end of a release,
   * for an outage of the store, and goes on using an upstream that was removed.
   */
  @Test
  void shouldRemoveAnUpstreamImmediatelyWhenOnlyAConnectionWasSilent() {
    int call = readWhileUpstreamsRenew(upstream("a", false, 0, 1));
    runTask();
    time.run(1_000);
    failRead(call);
    time.run(710);
    completeRead(call + 1, removal(311, "a"));
    assertThat(usableIds()).isEmpty();
  }

  @Test
  void shouldIgnoreARegistrationWhenItIsOfAnEarlierStart() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 5)));
    time.run(710);
    completeRead(1, change(11, false, upstream("a", true, 0, 4)));
    assertThat(usableIds()).containsExactly("a");
  }

  @Test
  void shouldDecreaseTheRemainingWarmupWhenTheRegistrationIsNotRenewed() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 3_000, 1)));
    time.run(1_000);
    assertThat(controller.usableUpstreams("s").get(0).warmupRemainingMs()).isEqualTo(2_000);
    time.run(2_500);
    assertThat(controller.usableUpstreams("s").get(0).warmupRemainingMs()).isZero();
  }

  @Test
  void shouldBeStaleWhenTheStoreHasNotBeenReadRecently() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(isStale()).isFalse();
    time.run(RegistrationAge.MAX_FOR_PLACEMENT_MS + 10);
    assertThat(isStale()).isTrue();
  }

  private boolean isStale() {
    return RegistrationAge.isTooOldForPlacement(controller.ageMs());
  }

  /** Guards against placements by a host that does not notice that it was suspended. */
  @Test
  void shouldReadAgainBeforeTheTaskWhenTheMachineWasSuspended() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    suspendedMs += 4_000;
    runTask();
    assertThat(taskRuns).isEqualTo(1);
    completeRead(1, change(20, false, upstream("a", true, 0, 1)));
    assertThat(taskRuns).isEqualTo(2);
    assertThat(usableIds()).isEmpty();
  }

  /**
   * Guards against a frozen host that takes a response, which waited until it ran again, for a
   * fresh one.
   */
  @Test
  void shouldBeStaleWhenTheHostWasFrozenDuringARead() {
    runTask();
    time.run(4_000);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(isStale()).isTrue();
  }

  /** Guards against a host that asks the feed for a discarded revision again and again. */
  @Test
  void shouldRereadAllWhenTheHistoryIsUnavailable() {
    runTask();
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    failWithoutHistory(1);
    assertThat(store.upstreamReadRevisions).containsExactly(-1L, 10L, -1L);
    completeRead(2, change(20, true, upstream("b", false, 0, 1)));
    assertThat(usableIds()).containsExactly("b");
  }

  /** Guards against placements by the old registrations between the two reads. */
  @Test
  void shouldRunTheTaskOnlyAfterTheFullReadWhenTheHistoryIsUnavailable() {
    controller.runWhenFresh(() -> taskRuns++);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(30_000);
    controller.runWhenFresh(() -> taskRuns++);
    failWithoutHistory(1);
    assertThat(taskRuns).isEqualTo(1);
    completeRead(2, change(20, true, upstream("b", false, 0, 1)));
    assertThat(taskRuns).isEqualTo(2);
  }

  private void failWithoutHistory(int call) {
    store
        .upstreamReads
        .get(call)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.HISTORY_UNAVAILABLE));
  }

  @Test
  void shouldNotPollWhenOnlyRequestsOfThisHostAreDecided() {
    controller.runWhenFresh(() -> taskRuns++);
    completeRead(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(5_000);
    assertThat(store.upstreamReads).hasSize(1);
  }

  @Test
  void shouldForgetAFailedReadWhenItIsLongAgo() {
    runTask();
    store
        .upstreamReads
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    assertThat(controller.isStoreFailing()).isTrue();
    time.run(5_100);
    assertThat(controller.isStoreFailing()).isFalse();
  }
}
