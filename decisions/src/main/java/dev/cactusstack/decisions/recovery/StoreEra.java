package dev.cactusstack.decisions.recovery;

/**
 * Tracks the era of the store by its answers, and decides which answers may be used.
 *
 * <p>Invariant: the era never decreases, so an answer of an earlier era that arrives late is not
 * used. Confined to one thread.
 */
public final class StoreEra {
  private long current = StoreRevision.UNKNOWN_ERA;

  /** What an answer of the store tells about its era. */
  public enum Verdict {
    /** The era is the current one, or the answer tells none. */
    CURRENT,
    /** The store was restored since the last answer: all known revisions belong to earlier eras. */
    RESTORED,
    /** The answer was given before a restore that is already known; it must not be used. */
    OUTDATED
  }

  /**
   * Records the era of an answer.
   *
   * @param answerEra the era, 0 if the answer tells none
   * @return what the answer tells
   */
  public Verdict record(long answerEra) {
    if (answerEra == StoreRevision.UNKNOWN_ERA || answerEra == current) {
      return Verdict.CURRENT;
    }
    if (answerEra < current) {
      return Verdict.OUTDATED;
    }
    boolean first = current == StoreRevision.UNKNOWN_ERA;
    current = answerEra;
    return first ? Verdict.CURRENT : Verdict.RESTORED;
  }

  /**
   * Checks whether the changes after a revision can be read. The store may have assigned the
   * revisions of another era again, for other changes.
   *
   * @param pair the revision with its era
   * @return false if everything has to be read
   */
  public boolean hasChangesSince(long pair) {
    return StoreRevision.eraOf(pair) == current;
  }

  /**
   * Returns the current era.
   *
   * @return the highest era of an answer, 0 if none told one
   */
  public long current() {
    return current;
  }
}
