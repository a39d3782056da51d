package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.decisions.rollouts.Answer;
import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.RolloutRow;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
import dev.cactusstack.model.site.RolloutStatus;
import dev.cactusstack.model.site.SiteConfiguration;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** The controller of roll-outs against a store whose calls the test completes. */
class RolloutControllerTest {
  private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", 40_000, 7);
  private static final long STORE_NOW_MS = 500_000;
  private static final long ROW_REVISION = 9;

  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private Optional<SiteConfiguration> configuration = Optional.empty();
  private boolean scheduler = true;
  private int rankings;
  private final RolloutController controller =
      new RolloutController(
          time.loop(), time::nowMs, log, store, () -> configuration, service -> isScheduler());

  private boolean isScheduler() {
    rankings++;
    return scheduler;
  }

  private void order(RolloutOrder... orders) {
    order(1, orders);
  }

  private void order(long revision, RolloutOrder... orders) {
    Map<String, RolloutOrder> rollouts = new HashMap<>();
    for (RolloutOrder order : orders) {
      rollouts.put(order.service(), order);
    }
    configuration =
        Optional.of(
            new SiteConfiguration(
                revision,
                1,
                List.of(),
                Map.of(),
                CallerLimits.DEFAULT,
                Set.of(),
                CallerAccess.OPEN,
                rollouts));
    controller.onConfigurationChanged();
    time.run(20);
  }

  private Rollout rollout() {
    return controller.find("s").orElseThrow();
  }

  private static RolloutStatus status(RolloutState state, long orderRevision, long startedAtMs) {
    return new RolloutStatus(state, "v2", orderRevision, startedAtMs);
  }

  private static <T> CompletableFuture<T> last(List<CompletableFuture<T>> calls) {
    return calls.get(calls.size() - 1);
  }

  private void answerRead(Optional<RolloutStatus> status, long revision) {
    last(store.rolloutReads)
        .complete(new RolloutRow(status, revision, STORE_NOW_MS + time.nowMs() - 1_000_000));
    time.run(300);
  }

  private void start() {
    order(ORDER);
    answerRead(Optional.empty(), 0);
    last(store.rolloutWrites).complete(ROW_REVISION);
    time.run(300);
  }

  private void recordAnswers(boolean isNewVersion, Answer.Kind kind, int count) {
    for (int i = 0; i < count; i++) {
      rollout().recordPlacement(isNewVersion, true);
      rollout().recordAnswer(isNewVersion, new Answer("r", kind, 50, 1, false), time.nowMs());
    }
  }

  private RolloutStatus lastWritten() {
    return store.writtenStatuses.get(store.writtenStatuses.size() - 1);
  }

  /** Guards against calls that services without an order would cost. */
  @Test
  void shouldNotCallTheStoreWithoutAnOrder() {
    order();
    time.run(30_000);
    assertThat(store.callCount()).isZero();
    assertThat(controller.find("s")).isEmpty();
  }

  /** Guards against a new version that is used before the status is known and written. */
  @Test
  void shouldWriteRunningBeforeTheNewVersionIsUsed() {
    order(ORDER);
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    answerRead(Optional.empty(), 0);
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    assertThat(store.writtenOverRevisions).containsExactly(0L);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.RUNNING);
    assertThat(lastWritten().startedAtMs()).isBetween(STORE_NOW_MS - 100, STORE_NOW_MS + 100);
    last(store.rolloutWrites).complete(ROW_REVISION);
    assertThat(rollout().state()).isEqualTo(RolloutState.RUNNING);
  }

  @Test
  void shouldWriteSuccessOverTheRowThatItReadWhenTheVersionIsGood() {
    start();
    recordAnswers(false, Answer.Kind.RESPONSE, 900);
    recordAnswers(true, Answer.Kind.RESPONSE, 80);
    for (int second = 0; second < 36; second++) {
      time.run(1_000);
      answerPendingRead(RolloutState.RUNNING);
    }
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.SUCCEEDED);
    assertThat(store.writtenOverRevisions).containsExactly(0L, ROW_REVISION);
  }

  private void answerPendingRead(RolloutState state) {
    if (!last(store.rolloutReads).isDone()) {
      answerRead(Optional.of(status(state, 7, STORE_NOW_MS)), ROW_REVISION);
    }
  }

  /** Guards against a verdict that is lost, or not acted on, because the store is away. */
  @Test
  void shouldRollBackAtOnceAndRetryTheWriteWhileTheStoreFails() {
    start();
    recordAnswers(false, Answer.Kind.RESPONSE, 200);
    recordAnswers(true, Answer.Kind.FAILURE, 8);
    assertThat(rollout().state()).isEqualTo(RolloutState.ROLLED_BACK);
    time.run(200);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.ROLLED_BACK);
    last(store.rolloutWrites).completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    for (int i = 0; i < 5; i++) {
      time.run(2_200);
      last(store.rolloutReads)
          .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    }
    assertThat(rollout().state()).isEqualTo(RolloutState.ROLLED_BACK);
    time.run(2_200);
    int writes = store.rolloutWrites.size();
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, STORE_NOW_MS)), ROW_REVISION);
    assertThat(store.rolloutWrites).hasSize(writes + 1);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.ROLLED_BACK);
    last(store.rolloutWrites).complete(10L);
    int calls = (int) store.callCount();
    time.run(60_000);
    assertThat((int) store.callCount()).isEqualTo(calls);
  }

  /** Guards against a new scheduler that gives the version its whole duration again. */
  @Test
  void shouldCountTheTimeThatTheStatusNamesWhenTakingOver() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, STORE_NOW_MS - 25_000)), ROW_REVISION);
    // The row is rewritten once, so that the predecessor can't write over it any more.
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    assertThat(store.writtenOverRevisions).containsExactly(ROW_REVISION);
    assertThat(lastWritten()).isEqualTo(status(RolloutState.RUNNING, 7, STORE_NOW_MS - 25_000));
    last(store.rolloutWrites).complete(ROW_REVISION + 1);
    assertThat(rollout().state()).isEqualTo(RolloutState.RUNNING);
    assertThat(rollout().elapsedMs(time.nowMs())).isBetween(25_000L, 26_000L);
    time.run(300);
    assertThat(store.rolloutWrites).hasSize(1);
  }

  /** Guards against a restarted host that starts a finished roll-out again. */
  @Test
  void shouldKeepTheVerdictOfTheStoreWhenTakingOver() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    assertThat(rollout().state()).isEqualTo(RolloutState.ROLLED_BACK);
    time.run(30_000);
    assertThat(store.callCount()).isEqualTo(1);
  }

  /** Guards against two schedulers of which each follows its own verdict. */
  @Test
  void shouldTakeOverTheVerdictThatAnotherHostWroteMeanwhile() {
    start();
    recordAnswers(false, Answer.Kind.RESPONSE, 200);
    recordAnswers(true, Answer.Kind.FAILURE, 8);
    time.run(200);
    last(store.rolloutWrites)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    time.run(400);
    answerRead(Optional.of(status(RolloutState.SUCCEEDED, 7, 0)), 11);
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against an old verdict that applies to a later order of the same version. */
  @Test
  void shouldStartOverWhenTheSameVersionIsOrderedAgainAfterARollBack() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    order(new RolloutOrder("s", "v2", 40_000, 12));
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    time.run(1_000);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    assertThat(lastWritten()).satisfies(s -> assertThat(s.orderRevision()).isEqualTo(12));
    assertThat(store.writtenOverRevisions).containsExactly(ROW_REVISION);
    last(store.rolloutWrites).complete(13L);
    assertThat(rollout().state()).isEqualTo(RolloutState.RUNNING);
  }

  /**
   * Guards against a host with an old configuration that overwrites the status of a later order.
   */
  @Test
  void shouldNotReplaceTheStatusOfALaterOrder() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.RUNNING, 12, 0)), ROW_REVISION);
    time.run(5_000);
    assertThat(store.rolloutWrites).isEmpty();
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
  }

  /** Guards against a host that keeps to use the new version after another took over. */
  @Test
  void shouldStopUsingTheNewVersionWhenAnotherHostBecomesTheScheduler() {
    start();
    assertThat(rollout().state()).isEqualTo(RolloutState.RUNNING);
    scheduler = false;
    time.run(300);
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    int calls = (int) store.callCount();
    time.run(10_000);
    assertThat((int) store.callCount()).isEqualTo(calls);
  }

  /** Guards against a host that decides alone and does not learn that the old version stops. */
  @Test
  void shouldReadTheVerdictOnOtherHostsWhileTheyPlaceRequests() {
    scheduler = false;
    order(ORDER);
    time.run(5_000);
    assertThat(store.callCount()).isZero();
    controller.recordUse("s");
    time.run(300);
    answerRead(Optional.of(status(RolloutState.SUCCEEDED, 7, 0)), ROW_REVISION);
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against a verdict that is gone after the store lost it. */
  @Test
  void shouldWriteTheVerdictAgainWhenTheStoreHasLostIt() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    controller.reread(0);
    time.run(1_500);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, STORE_NOW_MS)), 5);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.ROLLED_BACK);
    assertThat(store.writtenOverRevisions).containsExactly(5L);
  }

  @Test
  void shouldLogEachStep() {
    start();
    recordAnswers(false, Answer.Kind.RESPONSE, 200);
    recordAnswers(true, Answer.Kind.FAILURE, 8);
    time.run(200);
    log.flush();
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("state=running")
        .contains("state=rolled_back why=bad_answers")
        .contains("bad_new=8");
  }

  private void promote() {
    start();
    recordAnswers(false, Answer.Kind.RESPONSE, 900);
    recordAnswers(true, Answer.Kind.RESPONSE, 80);
    for (int i = 0; i < 400 && rollout().state() != RolloutState.SUCCEEDED; i++) {
      time.run(100);
      answerPendingRead(RolloutState.RUNNING);
    }
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against a success that stops the old servers while a successor still uses them. */
  @Test
  void shouldDiscardAnUnwrittenSuccessWhenAnotherHostChangedTheRow() {
    promote();
    last(store.rolloutWrites)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    time.run(400);
    int writes = store.rolloutWrites.size();
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, STORE_NOW_MS)), ROW_REVISION + 1);
    assertThat(rollout().state()).isEqualTo(RolloutState.UNREAD);
    assertThat(store.rolloutWrites).hasSize(writes + 1);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.RUNNING);
  }

  /** Guards against a success that is given up because the store was away for a moment. */
  @Test
  void shouldWriteTheSuccessAgainWhenNobodyChangedTheRow() {
    promote();
    last(store.rolloutWrites)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    time.run(400);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, STORE_NOW_MS)), ROW_REVISION);
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
    time.run(300);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against an order after a restore that never starts, as the row names a higher one. */
  @Test
  void shouldReplaceTheStatusOfALaterOrderThatDoesNotArrive() {
    order(ORDER);
    for (int i = 0; i < 8; i++) {
      answerRead(Optional.of(status(RolloutState.RUNNING, 12, 0)), ROW_REVISION);
      assertThat(store.rolloutWrites).isEmpty();
    }
    for (int i = 0; i < 8 && store.rolloutWrites.isEmpty(); i++) {
      answerRead(Optional.of(status(RolloutState.RUNNING, 12, 0)), ROW_REVISION);
    }
    assertThat(store.writtenOverRevisions).containsExactly(ROW_REVISION);
    assertThat(lastWritten().orderRevision()).isEqualTo(ORDER.revision());
  }

  /** Guards against a status of an order that the restored store does not have. */
  @Test
  void shouldNotWriteAfterARestoreBeforeTheConfigurationWasRead() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    controller.reread(1);
    time.run(3_000);
    assertThat(store.callCount()).isEqualTo(1);
    order(StoreRevision.of(1, 5), ORDER);
    time.run(1_500);
    answerRead(Optional.empty(), 0);
    assertThat(lastWritten().state()).isEqualTo(RolloutState.ROLLED_BACK);
  }

  /** Guards against an answer that was on its way when the restore became known. */
  @Test
  void shouldNotWriteForAReadThatEndsBeforeTheConfigurationWasRead() {
    order(ORDER);
    controller.reread(1);
    answerRead(Optional.empty(), 0);
    assertThat(store.rolloutWrites).isEmpty();
    time.run(6_000);
    answerRead(Optional.empty(), 0);
    assertThat(store.rolloutWrites).hasSize(1);
  }

  /** Guards against a roll-out that gets more time because the store lost its row. */
  @Test
  void shouldKeepTheStartWhenTheRowWasLost() {
    order(ORDER);
    long startedAtMs = STORE_NOW_MS - 25_000;
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, startedAtMs)), ROW_REVISION);
    last(store.rolloutWrites).complete(ROW_REVISION + 1);
    time.run(5_500);
    answerRead(Optional.empty(), 0);
    assertThat(store.rolloutWrites).hasSize(2);
    assertThat(lastWritten().startedAtMs()).isBetween(startedAtMs - 100, startedAtMs + 100);
  }

  /** Guards against requests that fail on old servers that stopped after the success. */
  @Test
  void shouldReadTheVerdictAtOnceWhenAnOldUpstreamIsLost() {
    scheduler = false;
    order(ORDER);
    controller.recordUse("s");
    time.run(300);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, 0)), ROW_REVISION);
    controller.recordUse("s");
    time.run(200);
    assertThat(store.rolloutReads).hasSize(1);
    rollout().recordLostConnection(false, time.nowMs());
    time.run(200);
    assertThat(store.rolloutReads).hasSize(2);
    answerRead(Optional.of(status(RolloutState.SUCCEEDED, 7, 0)), ROW_REVISION);
    assertThat(rollout().state()).isEqualTo(RolloutState.SUCCEEDED);
  }

  /** Guards against reads at each tick because of one lost upstream. */
  @Test
  void shouldReadTheVerdictOnceForAnOldUpstreamThatIsLost() {
    scheduler = false;
    order(ORDER);
    controller.recordUse("s");
    time.run(300);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, 0)), ROW_REVISION);
    rollout().recordLostConnection(false, time.nowMs());
    time.run(400);
    answerRead(Optional.of(status(RolloutState.RUNNING, 7, 0)), ROW_REVISION);
    controller.recordUse("s");
    time.run(1_000);
    assertThat(store.rolloutReads).hasSize(2);
  }

  /** Guards against hosts that rank all hosts ten times a second for an order of others. */
  @Test
  void shouldLookAtTheRankOnceASecondWhenTheHostPlacesNothing() {
    scheduler = false;
    order(ORDER);
    rankings = 0;
    time.run(10_000);
    assertThat(rankings).isBetween(9, 11);
    controller.recordUse("s");
    time.run(150);
    assertThat(store.rolloutReads).hasSize(1);
  }

  /** Guards against a second order that waits for the slow interval of a settled one. */
  @Test
  void shouldTickSoonerWhenAnOrderIsAddedToASettledOne() {
    order(ORDER);
    answerRead(Optional.of(status(RolloutState.ROLLED_BACK, 7, 0)), ROW_REVISION);
    time.run(1_100);
    order(ORDER, new RolloutOrder("t", "v2", 40_000, 8));
    rankings = 0;
    time.run(500);
    assertThat(rankings).isGreaterThan(6);
  }
}
