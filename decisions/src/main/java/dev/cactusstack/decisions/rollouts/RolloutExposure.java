package dev.cactusstack.decisions.rollouts;

import dev.cactusstack.model.site.RolloutState;

/**
 * Decides which versions a placement may use.
 *
 * <p>Each first placement of a request adds a fixed share to the credit of the new version, and
 * each placement on the new version takes one. Credit that can't be used, because the new upstreams
 * are cold or full, is not saved up, so that the share is spread evenly in time.
 *
 * <p>Invariant: while the roll-out runs, placements on the new version are fewer than {@link
 * #SHARE} of the first placements, except while no old upstream exists. Since each scheduler starts
 * without credit, the same holds for the sum over several schedulers. Confined to one thread.
 */
public final class RolloutExposure {
  /** The versions that a placement may use. */
  public enum Versions {
    /** Only old versions. */
    OLD,
    /** Only the new version. */
    NEW
  }

  /**
   * Share of the new version; below the permitted 0.1, because some requests are placed by other
   * hosts or fail before they reach an upstream, and because of the placements while promoting.
   */
  static final double SHARE = 0.08;

  private static final double MAX_CREDIT = 3;

  /** Credit that is kept for routes that need answers of the new version. */
  private static final double RESERVED_CREDIT = 1;

  private double credit;
  private long placements;
  private long newPlacements;

  /**
   * Returns the versions that placements use apart from those that {@link #isNewVersionDue} allows.
   *
   * @param state the state of the roll-out
   * @param hasOldUpstream whether an upstream of an old version is usable
   * @return the versions; never the new one after it was rolled back
   */
  public static Versions versions(RolloutState state, boolean hasOldUpstream) {
    return switch (state) {
      case UNREAD, RUNNING -> hasOldUpstream ? Versions.OLD : Versions.NEW;
      case PROMOTING, SUCCEEDED -> Versions.NEW;
      case ROLLED_BACK -> Versions.OLD;
    };
  }

  /**
   * Checks whether the first placement of a request may be made on the new version now.
   *
   * @param needsAnswers whether its route needs more answers of the new version
   * @return true if there is credit; routes that need answers have precedence
   */
  public boolean isNewVersionDue(boolean needsAnswers) {
    return credit >= (needsAnswers ? 1 : 1 + RESERVED_CREDIT);
  }

  /**
   * Records a placement. Credit is collected only while the roll-out runs.
   *
   * @param isRunning whether the roll-out runs
   * @param isNewVersion whether it was made on the new version
   * @param isFirst whether it is the request's first one
   */
  public void recordPlacement(boolean isRunning, boolean isNewVersion, boolean isFirst) {
    placements++;
    newPlacements += isNewVersion ? 1 : 0;
    if (!isRunning) {
      credit = 0;
      return;
    }
    credit = Math.min(MAX_CREDIT, credit + (isFirst ? SHARE : 0));
    if (isNewVersion) {
      credit = Math.max(0, credit - 1);
    }
  }

  /**
   * Returns the number of placements.
   *
   * @return the count, on all versions
   */
  public long placements() {
    return placements;
  }

  /**
   * Returns the number of placements on the new version.
   *
   * @return the count
   */
  public long newPlacements() {
    return newPlacements;
  }
}
