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
 * An operator's edits under one operation id, to be committed together.
 *
 * <p>Every written row carries the operation id, so a later read of the table tells whether a
 * commit whose answer was lost took effect. Immutable and thread-safe.
 *
 * @param operation the operation's id
 * @param edits the edits, at most one for each row
 * @param ifTableVersion the version the table must still have, if the operator named one
 */
public record EditPlan(String operation, List<Edit> edits, OptionalLong ifTableVersion)
    implements ChangePlan {

  /** Copies the edits. */
  public EditPlan {
    Objects.requireNonNull(operation, "operation is null");
    edits = List.copyOf(edits);
    Objects.requireNonNull(ifTableVersion, "ifTableVersion is null");
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
    List<RowConflict> conflicts = conflicts(table);
    if (!conflicts.isEmpty()) {
      return new Step.Done(new EditOutcome.Conflict(conflicts));
    }
    List<Route> rows = new ArrayList<>();
    edits.forEach(
        e -> {
          Route before = table.route(e.key()).orElseThrow();
          Route after = e.applyTo(before);
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
        .flatMap(e -> table.route(e.key()).stream())
        .filter(r -> r.operations().contains(operation))
        .mapToLong(Route::version)
        .max();
  }

  private Optional<Problem> firstProblem(ConfigurationTable table) {
    Set<RouteKey> seen = new HashSet<>();
    for (Edit e : edits) {
      Result<Route> r = check(table, e, seen);
      Optional<Problem> p = r.fold(Optional::of, x -> Optional.empty());
      if (p.isPresent()) {
        return p;
      }
    }
    return edits.isEmpty()
        ? Optional.of(Problem.invalid("the edit names no row", "name a service and a data centre"))
        : Optional.empty();
  }

  private static Result<Route> check(ConfigurationTable table, Edit e, Set<RouteKey> seen) {
    if (!seen.add(e.key())) {
      return Result.failure(
          Problem.invalid(
              "row " + e.key() + " stands twice",
              "keep one line for each service and data centre"));
    }
    return table
        .route(e.key())
        .map(Result::success)
        .orElseGet(() -> Result.failure(unknownRow(table, e.key())));
  }

  private static Problem unknownRow(ConfigurationTable table, RouteKey key) {
    boolean known = !table.routesOf(key.service()).isEmpty();
    return new Problem(
        known ? ProblemKind.UNKNOWN_DATA_CENTRE : ProblemKind.UNKNOWN_SERVICE,
        known
            ? "service " + key.service() + " has no data centre " + key.dataCentre()
            : "there is no service " + key.service(),
        "take a name that 'cactusctl table show' lists");
  }

  private List<RowConflict> conflicts(ConfigurationTable table) {
    boolean tableMoved =
        ifTableVersion.isPresent() && ifTableVersion.getAsLong() != table.version();
    List<RowConflict> sides = new ArrayList<>();
    for (Edit e : edits) {
      Route theirs = table.route(e.key()).orElseThrow();
      boolean rowMoved = e.ifVersion().isPresent() && e.ifVersion().getAsLong() != theirs.version();
      boolean movedSince = tableMoved && theirs.version() > ifTableVersion.getAsLong();
      if (rowMoved || movedSince) {
        sides.add(new RowConflict(e.applyTo(theirs), theirs));
      }
    }
    if (tableMoved && sides.isEmpty()) {
      Edit first = edits.get(0);
      Route theirs = table.route(first.key()).orElseThrow();
      sides.add(new RowConflict(first.applyTo(theirs), theirs));
    }
    return sides;
  }
}
