package dev.cactusstack.decisions.recovery;

/**
 * Pairs of the store's era and a revision, as one number.
 *
 * <p>Each restore of the store begins an era, and the store assigns revisions again that it
 * assigned in the era before. The numbers of pairs compare by era, then by revision, so a revision
 * is never compared with one of another era. A store that tells no era has era 0, and its pairs
 * equal its revisions. Stateless and thread-safe.
 */
public final class StoreRevision {
  /** The era of a store that tells none. */
  public static final long UNKNOWN_ERA = 0;

  /** At 2,000 changes a second a store reaches 2^42 revisions in 70 years. */
  private static final int REVISION_BITS = 42;

  private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;
  private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

  private StoreRevision() {}

  /**
   * Combines an era and a revision.
   *
   * @param era the era, 0 if the store tells none
   * @param revision the store's revision in that era
   * @return the number of the pair
   */
  public static long of(long era, long revision) {
    if (!isPair(era, revision)) {
      throw new IllegalArgumentException("era " + era + " or revision " + revision + " is too big");
    }
    return era << REVISION_BITS | revision;
  }

  /**
   * Checks whether a number can be an era.
   *
   * @param era the number
   * @return false if it is negative or too big
   */
  public static boolean isEra(long era) {
    return era >= 0 && era <= MAX_ERA;
  }

  /**
   * Checks whether two numbers can be an era and a revision.
   *
   * @param era the era
   * @param revision the revision
   * @return false if one of them is negative or too big
   */
  public static boolean isPair(long era, long revision) {
    return isEra(era) && revision >= 0 && revision <= REVISION_MASK;
  }

  /**
   * Returns the era of a pair.
   *
   * @param pair the number of the pair
   * @return the era
   */
  public static long eraOf(long pair) {
    return pair >> REVISION_BITS;
  }

  /**
   * Returns the revision of a pair.
   *
   * @param pair the number of the pair
   * @return the revision within its era
   */
  public static long revisionOf(long pair) {
    return pair & REVISION_MASK;
  }
}
