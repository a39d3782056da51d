package dev.cactusstack.decisions.recovery;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.Edit;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.EditOutcome.RowConflict;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * An operator's edits under one operation id, committed atomically.
 *
 * <p>Every written row records the operation id, so that a later read of the table shows whether a
 * commit whose response was lost took effect. Immutable and thread-safe.
 *
 * @param operation the operation's id
 * @param edits the edits, at most one per row
 * @param expectedTableVersion the version that the table is expected to have, if the operator
 *     specified one
 */
public record EditPlan(String operation, List<Edit> edits, OptionalLong expectedTableVersion)
    implements ChangePlan {

  /** Copies the edits. */
  public EditPlan {
    Objects.requireNonNull(operation, "operation is null");
    edits = List.copyOf(edits);
    Objects.requireNonNull(expectedTableVersion, "expectedTableVersion is null");
  }

  @Override
  public Step nextStep(ConfigurationTable table) {
    Objects.requireNonNull(table, "table is null");
    if (appliedVersion(table).isPresent()) {
      return new Step.Done(new EditOutcome.Accepted(appliedVersion(table).getAsLong()));
    }
    Optional<Problem> invalid = firstProblem(table);
    if (invalid.isPresent()) {
      return new Step.Done(new EditOutcome.NotAccepted(invalid.get()));
    }
    List<RowConflict> conflicts = findConflicts(table);
    if (!conflicts.isEmpty()) {
      return new Step.Done(new EditOutcome.Conflict(conflicts));
    }
    List<Route> rows = new ArrayList<>();
    edits.forEach(
        edit -> {
          Route before = table.route(edit.key()).orElseThrow();
          Route after = edit.applyTo(before);
          if (!after.equals(before)) {
            rows.add(after.withOperation(operation));
          }
        });
    return rows.isEmpty()
        ? new Step.Done(new EditOutcome.Accepted(table.version()))
        : new Step.Commit(rows, List.of());
  }

  @Override
  public OptionalLong appliedVersion(ConfigurationTable table) {
    return edits.stream()
        .flatMap(edit -> table.route(edit.key()).stream())
        .filter(row -> row.operations().contains(operation))
        .mapToLong(Route::version)
        .max();
  }

  private Optional<Problem> firstProblem(ConfigurationTable table) {
    Set<RouteKey> seenKeys = new HashSet<>();
    for (Edit edit : edits) {
      Result<Route> checkedRow = check(table, edit, seenKeys);
      Optional<Problem> problem = checkedRow.fold(Optional::of, valid -> Optional.empty());
      if (problem.isPresent()) {
        return problem;
      }
    }
    return edits.isEmpty()
        ? Optional.of(
            Problem.invalid("the edit contains no rows", "specify a service and a data centre"))
        : Optional.empty();
  }

  private static Result<Route> check(ConfigurationTable table, Edit edit, Set<RouteKey> seenKeys) {
    if (!seenKeys.add(edit.key())) {
      return Result.failure(
          Problem.invalid(
              "row " + edit.key() + " appears twice", "keep one line per service and data centre"));
    }
    return table
        .route(edit.key())
        .map(Result::success)
        .orElseGet(() -> Result.failure(unknownRow(table, edit.key())));
  }

  private static Problem unknownRow(ConfigurationTable table, RouteKey key) {
    boolean known = !table.routesOf(key.service()).isEmpty();
    return new Problem(
        known ? ProblemKind.UNKNOWN_DATA_CENTRE : ProblemKind.UNKNOWN_SERVICE,
        known
            ? "service " + key.service() + " has no data centre " + key.dataCentre()
            : "there is no service " + key.service(),
        "use a name listed by 'cactusctl table show'");
  }

  private List<RowConflict> findConflicts(ConfigurationTable table) {
    boolean tableChanged =
        expectedTableVersion.isPresent() && expectedTableVersion.getAsLong() != table.version();
    List<RowConflict> found = new ArrayList<>();
    for (Edit edit : edits) {
      Route currentRow = table.route(edit.key()).orElseThrow();
      boolean rowChanged =
          edit.ifVersion().isPresent() && edit.ifVersion().getAsLong() != currentRow.version();
      boolean rowChangedSinceTableVersion =
          tableChanged && currentRow.version() > expectedTableVersion.getAsLong();
      if (rowChanged || rowChangedSinceTableVersion) {
        found.add(new RowConflict(edit.applyTo(currentRow), currentRow));
      }
    }
    if (tableChanged && found.isEmpty()) {
      Edit firstEdit = edits.get(0);
      Route currentRow = table.route(firstEdit.key()).orElseThrow();
      found.add(new RowConflict(firstEdit.applyTo(currentRow), currentRow));
    }
    return found;
  }
}
