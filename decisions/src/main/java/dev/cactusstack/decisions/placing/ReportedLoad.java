package dev.cactusstack.decisions.placing;

/**
 * The load that an upstream reports about itself. Immutable and thread-safe.
 *
 * @param running the number of running requests
 * @param waiting the number of requests waiting for a slot
 * @param slots the number of requests that can run concurrently
 * @param slowdownPercent the current processing time relative to an undisturbed upstream, in
 *     percent; 100 means no slowdown
 */
public record ReportedLoad(int running, int waiting, int slots, int slowdownPercent) {
  /** The slowdown of an undisturbed upstream, in percent. */
  public static final int NORMAL_SLOWDOWN_PERCENT = 100;

  /**
   * Returns the factor by which processing is slower than on an undisturbed upstream.
   *
   * @return the slowdown factor; 1 means no slowdown
   */
  public double slowdown() {
    return slowdownPercent / (double) NORMAL_SLOWDOWN_PERCENT;
  }

  @Override
  public String toString() {
    return running + "," + waiting + "," + slots + "," + slowdownPercent;
  }
}
