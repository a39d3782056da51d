package dev.cactusstack.decisions.state;

/** The state of an upstream. Immutable and thread-safe. */
public enum UpstreamState {
  /** Can take its full limit. */
  WARM,
  /** Can take little load; its limit grows with successes. */
  COLD,
  /** Completes its running requests; gets no new ones. */
  LEAVING,
  /** Failed repeatedly; gets one trial request at a time after a backoff. */
  UNREACHABLE;

  /**
   * Returns the label of the state for operators.
   *
   * @return the name in lower case
   */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
