package dev.cactusstack.decisions.recovery;

import java.util.Objects;

/** What a read tells of a commit whose answer was lost. Immutable and thread-safe. */
public enum CommitStatus {
  /** It took effect. */
  APPLIED,
  /** It did not take effect, and cannot any more. */
  NOT_APPLIED,
  /** It has not taken effect, but still can. */
  PENDING,
  /** The rows no longer tell. */
  UNKNOWN;

  /**
   * Combines what two rows of one commit tell. A row that has not moved shows that the commit has
   * not taken effect; one that has moved without it shows that it cannot.
   *
   * @param o what the other row tells
   * @return what both tell together
   */
  public CommitStatus combine(CommitStatus o) {
    Objects.requireNonNull(o, "o is null");
    if (this == o) {
      return this;
    }
    if (this == APPLIED || o == APPLIED) {
      return APPLIED;
    }
    // The two differ and neither is APPLIED: an unmoved row with a moved one, or proof with none.
    return NOT_APPLIED;
  }
}
