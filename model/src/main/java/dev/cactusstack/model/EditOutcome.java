package dev.cactusstack.model;

import java.util.List;
import java.util.Objects;

/**
 * What became of an operator's edit.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface EditOutcome {

  /**
   * The edit is committed in the platform's table.
   *
   * @param version the revision that contains it
   */
  record Accepted(long version) implements EditOutcome {}

  /**
   * Another edit was committed first; nothing changed.
   *
   * @param rowConflicts both edits of each row in conflict
   */
  record Conflict(List<RowConflict> rowConflicts) implements EditOutcome {
    /** Copies the list. */
    public Conflict {
      rowConflicts = List.copyOf(rowConflicts);
    }
  }

  /**
   * The edit is certainly not committed; nothing changed.
   *
   * @param problem why
   */
  record NotAccepted(Problem problem) implements EditOutcome {
    /** Checks the problem. */
    public NotAccepted {
      Objects.requireNonNull(problem, "problem is null");
    }
  }

  /**
   * The edit may or may not be committed. Repeating it with the same operation id is safe.
   *
   * @param operation the operation's id
   * @param problem why it is not known
   */
  record Unknown(String operation, Problem problem) implements EditOutcome {
    /** Checks the components. */
    public Unknown {
      Objects.requireNonNull(operation, "operation is null");
      Objects.requireNonNull(problem, "problem is null");
    }
  }

  /**
   * Two edits of the same row.
   *
   * @param mine the row as this edit would make it
   * @param theirs the row as it is now
   */
  record RowConflict(Route mine, Route theirs) {}
}
