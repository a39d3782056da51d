package dev.cactusstack.decisions.membership;

/**
 * What is believed of a member. The order of the constants decides between claims of the same
 * incarnation: the later one wins. Immutable and thread-safe.
 */
public enum MemberStatus {
  /** Answers probes. */
  ALIVE,
  /** Did not answer a probe; may still refute. */
  SUSPECT,
  /** Did not refute a suspicion in time, or said that it has stopped. */
  DEAD;

  /**
   * Returns the status as operators see it.
   *
   * @return the label
   */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
