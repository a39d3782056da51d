package dev.cactusstack.standin;

/**
 * The faults that an upstream stand-in currently simulates. Immutable and thread-safe.
 *
 * @param slowdown factor applied to the service time
 * @param failFast whether it responds to every request immediately with a server error
 * @param shedding whether it rejects every request without executing it
 * @param leaving whether it reports that it is leaving
 * @param unresponsive whether it accepts requests and never responds
 * @param truncatesResponses whether it closes the connection in the middle of each response
 * @param stallsResponses whether it stops sending in the middle of each response
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
   * Returns this condition with another service time.
   *
   * @param factor factor applied to the service time
   * @return the changed condition
   */
  public UpstreamCondition withSlowdown(double factor) {
    return new UpstreamCondition(
        factor, failFast, shedding, leaving, unresponsive, truncatesResponses, stallsResponses);
  }

  /**
   * Returns this condition with responses that stop in the middle.
   *
   * @return the changed condition
   */
  public UpstreamCondition withStalledResponses() {
    return new UpstreamCondition(
        slowdown, failFast, shedding, leaving, unresponsive, truncatesResponses, true);
  }

  /**
   * Returns this condition with another leaving state.
   *
   * @param newLeaving whether it reports that it is leaving
   * @return the changed condition
   */
  public UpstreamCondition leaving(boolean newLeaving) {
    return new UpstreamCondition(
        slowdown,
        failFast,
        shedding,
        newLeaving,
        unresponsive,
        truncatesResponses,
        stallsResponses);
  }
}
