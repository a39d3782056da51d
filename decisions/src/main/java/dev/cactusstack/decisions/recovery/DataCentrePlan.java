package dev.cactusstack.decisions.recovery;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Route;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Takes a data centre out, or back in. Immutable and thread-safe.
 *
 * @param operation the operation's id
 * @param dataCentre the data centre
 * @param evacuated whether it is to be out
 * @param force whether it may be the last one of a service
 */
public record DataCentrePlan(
    String operation, DataCentre dataCentre, boolean evacuated, boolean force)
    implements ChangePlan {

  /** Checks the components. */
  public DataCentrePlan {
    Objects.requireNonNull(operation, "operation is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }

  @Override
  public Step nextStep(ConfigurationTable table) {
    DataCentreRow row = table.dataCentres().get(dataCentre);
    if (row == null) {
      return refused(
          new Problem(
              ProblemKind.UNKNOWN_DATA_CENTRE,
              "there is no data centre " + dataCentre,
              "take a name that 'cactusctl status' lists"));
    }
    OptionalLong applied = appliedVersion(table);
    if (applied.isPresent()) {
      return new Step.Done(new EditOutcome.Accepted(applied.getAsLong()));
    }
    if (row.evacuated() == evacuated) {
      return new Step.Done(new EditOutcome.Accepted(table.version()));
    }
    Optional<Route> stranded = evacuated && !force ? lastRoute(table) : Optional.empty();
    if (stranded.isPresent()) {
      return refused(
          Problem.invalid(
              dataCentre + " is the last data centre of service " + stranded.get().key().service(),
              "take another data centre in first, or add --force"));
    }
    var ids = new ArrayList<String>();
    ids.add(operation);
    ids.addAll(
        row.operations()
            .subList(0, Math.min(row.operations().size(), Route.MAX_RECORDED_OPERATIONS - 1)));
    return new Step.Commit(
        List.of(), List.of(new DataCentreRow(dataCentre, evacuated, row.version(), ids)));
  }

  private static Step refused(Problem p) {
    return new Step.Done(new EditOutcome.NotAccepted(p));
  }

  private Optional<Route> lastRoute(ConfigurationTable table) {
    return table.routes().values().stream()
        .filter(r -> r.key().dataCentre().equals(dataCentre) && r.weight() > 0)
        .filter(
            r ->
                table.routesOf(r.key().service()).stream()
                    .noneMatch(
                        o ->
                            !o.key().dataCentre().equals(dataCentre)
                                && o.weight() > 0
                                && !table.isEvacuated(o.key().dataCentre())))
        .findFirst();
  }

  @Override
  public OptionalLong appliedVersion(ConfigurationTable table) {
    DataCentreRow row = table.dataCentres().get(dataCentre);
    return row != null && row.operations().contains(operation)
        ? OptionalLong.of(row.version())
        : OptionalLong.empty();
  }
}
