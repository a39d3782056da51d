package dev.cactusstack.decisions.placing;

/**
 * What an upstream says of its load. Immutable and thread-safe.
 *
 * @param running requests running
 * @param waiting requests waiting for a slot
 * @param slots requests that can run at the same time
 * @param pacePercent how long work takes at the moment, 100 as usual
 */
public record LoadFigures(int running, int waiting, int slots, int pacePercent) {
  /** How long work takes on an undisturbed upstream, in percent. */
  public static final int USUAL_PACE = 100;

  /**
   * Returns how much longer than usual work takes.
   *
   * @return 1 as usual
   */
  public double pace() {
    return pacePercent / (double) USUAL_PACE;
  }

  @Override
  public String toString() {
    return running + "," + waiting + "," + slots + "," + pacePercent;
  }
}
