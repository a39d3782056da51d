package dev.cactusstack.decisions.state;

/** What an upstream can do now. Immutable and thread-safe. */
public enum UpstreamState {
  /** Bears its full limit. */
  WARM,
  /** Bears little; its limit grows with successes. */
  COLD,
  /** Finishes what it has; gets no new work. */
  LEAVING,
  /** Did not answer; gets one trial request at a time after a pause. */
  UNREACHABLE;

  /**
   * Returns the state as operators see it.
   *
   * @return the label
   */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
