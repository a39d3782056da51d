package dev.cactusstack.standin;

/**
 * The faults an upstream stand-in shows now. Immutable and thread-safe.
 *
 * @param slowdown factor on the time of a run
 * @param failFast whether it answers every request at once with a server error
 * @param shedding whether it refuses every request without running it
 * @param leaving whether it reports that it is leaving
 * @param unresponsive whether it accepts requests and never answers
 * @param truncatesResponses whether it closes the connection in the middle of each answer
 * @param stallsResponses whether it goes silent in the middle of each answer
 */
public record UpstreamCondition(
    double slowdown,
    boolean failFast,
    boolean shedding,
    boolean leaving,
    boolean unresponsive,
    boolean truncatesResponses,
    boolean stallsResponses) {
  /** No faults. */
  public static final UpstreamCondition HEALTHY =
      new UpstreamCondition(1, false, false, false, false, false, false);

  /**
   * Changes the speed.
   *
   * @param factor factor on the time of a run
   * @return the changed condition
   */
  public UpstreamCondition withSlowdown(double factor) {
    return new UpstreamCondition(factor, failFast, shedding, leaving, unresponsive, truncatesResponses, stallsResponses);
  }

  /**
   * Makes it go silent in the middle of each answer.
   *
   * @return the changed condition
   */
  public UpstreamCondition withStalledResponses() {
    return new UpstreamCondition(slowdown, failFast, shedding, leaving, unresponsive, truncatesResponses, true);
  }

  /**
   * Changes whether it reports that it is leaving.
   *
   * @param newLeaving whether it does
   * @return the changed condition
   */
  public UpstreamCondition leaving(boolean newLeaving) {
    return new UpstreamCondition(slowdown, failFast, shedding, newLeaving, unresponsive, truncatesResponses, stallsResponses);
  }
}
