package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.RolloutState;
import dev.cactusstack.model.site.RolloutStatus;

/** Logs the steps of one roll-out. Confined to the event loop. */
final class RolloutEvents {
  private static final long PROGRESS_INTERVAL_MS = 5_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EventLog log;
  private final Rollout rollout;
  private long loggedAtMs = NEVER;
  private RolloutState loggedState = RolloutState.UNREAD;

  RolloutEvents(EventLog log, Rollout rollout) {
    this.log = log;
    this.rollout = rollout;
  }

  /** Logs a change of the state at once, and the progress now and then while it runs. */
  void logStep(long nowMs) {
    boolean changed = rollout.state() != loggedState;
    boolean progressDue =
        rollout.state() == RolloutState.RUNNING && nowMs - loggedAtMs >= PROGRESS_INTERVAL_MS;
    if (!changed && !progressDue) {
      return;
    }
    loggedState = rollout.state();
    loggedAtMs = nowMs;
    event("rollout")
        .with("why", changed ? rollout.reason() : "progress")
        .with("since_order_ms", rollout.elapsedMs(nowMs))
        .with("placements", rollout.exposure().placements())
        .with("placements_new", rollout.exposure().newPlacements())
        .with("answers_old", rollout.judge().answers(false))
        .with("bad_old", rollout.judge().badAnswers(false))
        .with("answers_new", rollout.judge().answers(true))
        .with("bad_new", rollout.judge().badAnswers(true))
        .write();
  }

  void logWritten(RolloutStatus status) {
    event("rollout_written").with("written", status.state().label()).write();
  }

  void logFailure(String call, StoreException failure, long retryMs) {
    event("rollout_store_failed")
        .with("call", call)
        .with("cause", String.valueOf(failure.getMessage()))
        .with("retry_ms", retryMs)
        .write();
  }

  private EventLine event(String name) {
    return log.event(name)
        .with("service", rollout.order().service())
        .with("version", rollout.order().version())
        .with("order", rollout.order().revision())
        .with("state", rollout.state().label());
  }
}
