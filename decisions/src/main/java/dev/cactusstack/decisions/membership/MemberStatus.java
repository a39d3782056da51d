package dev.cactusstack.decisions.membership;

/**
 * The status of a member. The order of the constants decides between claims of the same
 * incarnation: the later constant wins. Immutable and thread-safe.
 */
public enum MemberStatus {
  /** Responds to probes. */
  ALIVE,
  /** Did not respond to a probe; can still refute the suspicion. */
  SUSPECT,
  /** Did not refute a suspicion in time, or announced that it has stopped. */
  DEAD;

  /**
   * Returns the label of the status for operators.
   *
   * @return the name in lower case
   */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
