package dev.cactusstack.decisions.recovery;

import java.util.Objects;

/**
 * The status of a commit whose response was lost, as determined by reading the table. Immutable and
 * thread-safe.
 */
public enum CommitStatus {
  /** The commit took effect. */
  APPLIED,
  /** The commit did not take effect and no longer can. */
  NOT_APPLIED,
  /** The commit has not taken effect but still can. */
  PENDING,
  /** The rows no longer show whether the commit took effect. */
  UNKNOWN;

  /**
   * Combines the statuses derived from two rows of one commit. A row with an unchanged version
   * shows that the commit has not taken effect; a row that was changed by another commit shows that
   * it no longer can.
   *
   * @param other the status derived from the other row
   * @return the combined status
   */
  public CommitStatus combine(CommitStatus other) {
    Objects.requireNonNull(other, "other is null");
    if (this == other) {
      return this;
    }
    if (this == APPLIED || other == APPLIED) {
      return APPLIED;
    }
    // The two differ and neither is APPLIED: one row is unchanged and the other was changed by
    // another commit, or only one of the rows shows that the commit did not take effect.
    return NOT_APPLIED;
  }
}
