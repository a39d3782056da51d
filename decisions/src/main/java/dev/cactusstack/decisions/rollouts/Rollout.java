package dev.cactusstack.decisions.rollouts;

import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Locale;

/**
 * One roll-out as a scheduler of the service sees it: running, then promoting and succeeded, or
 * rolled back.
 *
 * <p>Invariants: a verdict never changes, except into one that the store holds for the same order.
 * Before {@link RolloutState#SUCCEEDED} all placements are made on the new version, and those on
 * the old version have ended or are older than the longest time to wait for them. Confined to one
 * thread.
 */
public final class Rollout {
  /**
   * All requests reach the new version for at least this time before the old one stops, because a
   * fault may show only under full load.
   */
  private static final long MIN_PROMOTION_MS = 1_500;

  private static final long MAX_PROMOTION_MS = 2_000;

  /**
   * Longest time between two calls of {@link #advance} that counts as promotion. A host that was
   * paused for longer may have been taken for dead, and others may place on the old version.
   */
  private static final long MAX_PROMOTION_GAP_MS = 1_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final RolloutOrder order;
  private final RolloutExposure exposure = new RolloutExposure();
  private final RolloutJudge judge = new RolloutJudge();
  private RolloutSchedule schedule;
  private RolloutState state = RolloutState.UNREAD;
  private String reason = "";
  private long orderedAtMs = NEVER;
  private long promotedAtMs;
  private long advancedAtMs;
  private long oldUpstreamLostAtMs = NEVER;
  private int openOldPlacements;

  /**
   * Creates a roll-out whose status is not known.
   *
   * @param order the operators' order
   */
  public Rollout(RolloutOrder order) {
    this.order = order;
    this.schedule = new RolloutSchedule(order.durationMs(), 0);
  }

  /**
   * Returns the operators' order.
   *
   * @return the order
   */
  public RolloutOrder order() {
    return order;
  }

  /**
   * Returns the state.
   *
   * @return the state
   */
  public RolloutState state() {
    return state;
  }

  /**
   * Returns why the state was reached.
   *
   * @return a word for log lines, empty at first
   */
  public String reason() {
    return reason;
  }

  /**
   * Takes over the state that the store holds.
   *
   * @param stored the state: running or a verdict
   * @param elapsedMs time since the order, in milliseconds
   * @param isScheduler whether this host is the first in the ranking; otherwise only a verdict is
   *     taken over
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void adopt(RolloutState stored, long elapsedMs, boolean isScheduler, long nowMs) {
    if (stored.isVerdict()) {
      changeTo(stored, "stored");
    } else if (isScheduler && state == RolloutState.UNREAD) {
      // Regaining the role does not start the collection of answers again.
      long joinedAtMs = orderedAtMs == NEVER ? elapsedMs : schedule.joinedAtMs();
      orderedAtMs = nowMs - elapsedMs;
      schedule = new RolloutSchedule(order.durationMs(), joinedAtMs);
      changeTo(RolloutState.RUNNING, "stored");
    }
  }

  /** Stops to use the new version until the status is read again, unless there is a verdict. */
  public void suspend() {
    if (!state.isVerdict()) {
      changeTo(RolloutState.UNREAD, "not_scheduler");
    }
  }

  /**
   * Discards a success that could not be written before another host became the scheduler or
   * changed the status. The other host concludes anew from the status in the store.
   */
  public void discardSuccess() {
    if (state == RolloutState.SUCCEEDED) {
      changeTo(RolloutState.UNREAD, "not_scheduler");
    }
  }

  /**
   * Checks whether an upstream has the new version.
   *
   * @param upstream the upstream's registration
   * @return true if its version is the target of the order
   */
  public boolean isNewVersion(UpstreamRegistration upstream) {
    return upstream.version().equals(order.version());
  }

  /**
   * Returns the versions that placements may use, apart from single ones on the new version.
   *
   * @param hasOldUpstream whether an upstream of an old version is usable
   * @return the versions
   */
  public RolloutExposure.Versions versions(boolean hasOldUpstream) {
    return RolloutExposure.versions(state, hasOldUpstream);
  }

  /**
   * Checks whether the first placement of a request may be made on the new version now.
   *
   * @param route the request's route
   * @return true if the roll-out runs and the new version has had less than its share
   */
  public boolean isNewVersionDue(String route) {
    return state == RolloutState.RUNNING && exposure.isNewVersionDue(judge.needsAnswers(route));
  }

  /**
   * Records a placement.
   *
   * @param isNewVersion whether it was made on the new version
   * @param isFirst whether it is the request's first one
   */
  public void recordPlacement(boolean isNewVersion, boolean isFirst) {
    exposure.recordPlacement(state == RolloutState.RUNNING, isNewVersion, isFirst);
    openOldPlacements += isNewVersion ? 0 : 1;
  }

  /**
   * Records the end of a placement that says nothing about the version.
   *
   * @param isNewVersion whether it was made on the new version
   */
  public void recordEnd(boolean isNewVersion) {
    openOldPlacements -= isNewVersion ? 0 : 1;
  }

  /**
   * Records the answer to a placement, and rolls back if the new version is clearly bad.
   *
   * @param isNewVersion whether it was made on the new version
   * @param answer the answer
   * @param nowMs the current time on the same clock
   */
  public void recordAnswer(boolean isNewVersion, Answer answer, long nowMs) {
    recordEnd(isNewVersion);
    boolean bad = judge.record(isNewVersion, answer, nowMs);
    boolean open = state == RolloutState.RUNNING || state == RolloutState.PROMOTING;
    if (bad && isNewVersion && open && judge.isClearlyBad(nowMs)) {
      changeTo(RolloutState.ROLLED_BACK, "bad_answers");
    }
  }

  /**
   * Records that an upstream was unreachable or lost the connection.
   *
   * @param isNewVersion whether it has the new version
   * @param nowMs the current time on the same clock
   */
  public void recordLostConnection(boolean isNewVersion, long nowMs) {
    if (!isNewVersion && state == RolloutState.UNREAD) {
      oldUpstreamLostAtMs = nowMs;
    }
  }

  /**
   * Checks whether an old upstream may have stopped because of a success that this host does not
   * know.
   *
   * @param readAtMs when the last read of the status began, on the same clock
   * @return true if the status was unread and an old upstream was lost since then
   */
  public boolean isVerdictSuspected(long readAtMs) {
    return state == RolloutState.UNREAD
        && oldUpstreamLostAtMs != NEVER
        && oldUpstreamLostAtMs >= readAtMs;
  }

  /**
   * Changes the state if it is time to.
   *
   * @param nowMs the current time on the same clock
   */
  public void advance(long nowMs) {
    if (state == RolloutState.RUNNING && elapsedMs(nowMs) >= schedule.conclusionAtMs()) {
      conclude(nowMs);
    } else if (state == RolloutState.PROMOTING) {
      if (nowMs - advancedAtMs > MAX_PROMOTION_GAP_MS) {
        promotedAtMs = nowMs;
      }
      long promotingMs = nowMs - promotedAtMs;
      boolean ended = openOldPlacements <= 0 && promotingMs >= MIN_PROMOTION_MS;
      if (ended || promotingMs >= MAX_PROMOTION_MS) {
        changeTo(RolloutState.SUCCEEDED, "good");
      }
    }
    advancedAtMs = nowMs;
  }

  private void conclude(long nowMs) {
    boolean last = elapsedMs(nowMs) >= schedule.latestConclusionAtMs();
    RolloutJudge.Conclusion conclusion = judge.conclude();
    if (conclusion == RolloutJudge.Conclusion.BAD) {
      changeTo(RolloutState.ROLLED_BACK, "worse");
    } else if (conclusion == RolloutJudge.Conclusion.GOOD
        || (last && conclusion == RolloutJudge.Conclusion.INCOMPLETE)) {
      promotedAtMs = nowMs;
      changeTo(RolloutState.PROMOTING, conclusion.name().toLowerCase(Locale.ROOT));
    } else if (last) {
      changeTo(RolloutState.ROLLED_BACK, "too_few_answers");
    }
  }

  private void changeTo(RolloutState next, String why) {
    if (state != next) {
      state = next;
      reason = why;
    }
  }

  /**
   * Returns the time since the order.
   *
   * @param nowMs the current time on the same clock
   * @return the time in milliseconds; 0 before the status was read
   */
  public long elapsedMs(long nowMs) {
    return orderedAtMs == NEVER ? 0 : nowMs - orderedAtMs;
  }

  /**
   * Returns the counts of placements.
   *
   * @return the exposure of the new version
   */
  public RolloutExposure exposure() {
    return exposure;
  }

  /**
   * Returns the counts of answers.
   *
   * @return the judge of this roll-out
   */
  public RolloutJudge judge() {
    return judge;
  }
}
