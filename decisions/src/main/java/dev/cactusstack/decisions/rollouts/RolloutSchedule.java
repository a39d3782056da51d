package dev.cactusstack.decisions.rollouts;

/**
 * The times of a roll-out since its order, in milliseconds. Immutable and thread-safe.
 *
 * @param durationMs time from the order within which the roll-out has to end
 * @param joinedAtMs time from the order at which this scheduler took part
 */
record RolloutSchedule(long durationMs, long joinedAtMs) {
  /** A version may turn bad late, so the conclusion is drawn late. */
  private static final double CONCLUSION_SHARE = 0.8;

  private static final double MIN_CONCLUSION_SHARE = 0.5;

  /**
   * Time for the promotion (2 s), for the way of the order to this host (1 s) and for the write of
   * the verdict with one repetition (2 s).
   */
  private static final long RESERVE_MS = 5_000;

  /** Least time for which a scheduler that takes over late collects answers. */
  private static final long MIN_COLLECTION_MS = 3_000;

  /** Returns when the conclusion is drawn if the answers suffice. */
  long conclusionAtMs() {
    return Math.min(Math.round(durationMs * CONCLUSION_SHARE), latestConclusionAtMs());
  }

  /** Returns when the conclusion is drawn from what there is. */
  long latestConclusionAtMs() {
    long inTimeMs =
        Math.max(Math.round(durationMs * MIN_CONCLUSION_SHARE), durationMs - RESERVE_MS);
    return Math.max(inTimeMs, joinedAtMs + MIN_COLLECTION_MS);
  }
}
