package dev.cactusstack.model;

import java.util.List;
import java.util.Objects;

/**
 * The outcome of an operator's edit.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface EditOutcome {

  /**
   * The edit is committed in the platform's table.
   *
   * @param version the table revision that contains the edit
   */
  record Accepted(long version) implements EditOutcome {}

  /**
   * Another edit was committed first. Nothing was changed.
   *
   * @param rowConflicts the rows on which the edits conflict
   */
  record Conflict(List<RowConflict> rowConflicts) implements EditOutcome {
    /** Copies the list. */
    public Conflict {
      rowConflicts = List.copyOf(rowConflicts);
    }
  }

  /**
   * The edit was not committed. Nothing was changed.
   *
   * @param problem the reason
   */
  record NotAccepted(Problem problem) implements EditOutcome {
    /** Checks the problem. */
    public NotAccepted {
      Objects.requireNonNull(problem, "problem is null");
    }
  }

  /**
   * The edit may or may not be committed. It is safe to retry it with the same operation id.
   *
   * @param operation the operation's id
   * @param problem why the outcome is unknown
   */
  record Unknown(String operation, Problem problem) implements EditOutcome {
    /** Checks the components. */
    public Unknown {
      Objects.requireNonNull(operation, "operation is null");
      Objects.requireNonNull(problem, "problem is null");
    }
  }

  /**
   * A row on which two edits conflict.
   *
   * @param mine the row as this edit would have changed it
   * @param theirs the row as it is in the table
   */
  record RowConflict(Route mine, Route theirs) {}
}
