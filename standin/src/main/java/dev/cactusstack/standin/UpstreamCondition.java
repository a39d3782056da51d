package dev.cactusstack.standin;

/**
 * The faults an upstream stand-in shows now. Immutable and thread-safe.
 *
 * @param slowdown factor on the time of a run
 * @param failFast whether it answers every request at once with a server error
 * @param shedding whether it refuses every request without running it
 * @param leaving whether it reports that it is leaving
 * @param silent whether it accepts requests and never answers
 * @param cut whether it closes the connection in the middle of each answer
 * @param stall whether it goes silent in the middle of each answer
 */
public record UpstreamCondition(
    double slowdown,
    boolean failFast,
    boolean shedding,
    boolean leaving,
    boolean silent,
    boolean cut,
    boolean stall) {
  /** No faults. */
  public static final UpstreamCondition HEALTHY =
      new UpstreamCondition(1, false, false, false, false, false, false);

  /**
   * Changes the speed.
   *
   * @param factor factor on the time of a run
   * @return the changed condition
   */
  public UpstreamCondition slowedBy(double factor) {
    return new UpstreamCondition(factor, failFast, shedding, leaving, silent, cut, stall);
  }

  /**
   * Makes it go silent in the middle of each answer.
   *
   * @return the changed condition
   */
  public UpstreamCondition stalling() {
    return new UpstreamCondition(slowdown, failFast, shedding, leaving, silent, cut, true);
  }

  /**
   * Changes whether it reports that it is leaving.
   *
   * @param now whether it does
   * @return the changed condition
   */
  public UpstreamCondition leaving(boolean now) {
    return new UpstreamCondition(slowdown, failFast, shedding, now, silent, cut, stall);
  }
}
