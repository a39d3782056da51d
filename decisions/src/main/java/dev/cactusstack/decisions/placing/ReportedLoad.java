package dev.cactusstack.decisions.placing;

/**
 * What an upstream says of its load. Immutable and thread-safe.
 *
 * @param running requests running
 * @param waiting requests waiting for a slot
 * @param slots requests that can run at the same time
 * @param slowdownPercent how long work takes at the moment, 100 as usual
 */
public record ReportedLoad(int running, int waiting, int slots, int slowdownPercent) {
  /** How long work takes on an undisturbed upstream, in percent. */
  public static final int NORMAL_SLOWDOWN_PERCENT = 100;

  /**
   * Returns how much longer than usual work takes.
   *
   * @return 1 as usual
   */
  public double slowdown() {
    return slowdownPercent / (double) NORMAL_SLOWDOWN_PERCENT;
  }

  @Override
  public String toString() {
    return running + "," + waiting + "," + slots + "," + slowdownPercent;
  }
}
