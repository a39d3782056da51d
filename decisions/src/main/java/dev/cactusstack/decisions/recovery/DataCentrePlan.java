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
 * Takes a data centre out of service or back into service. Immutable and thread-safe.
 *
 * @param operation the operation's id
 * @param dataCentre the data centre
 * @param evacuated whether the data centre is to be taken out
 * @param force whether it may be taken out even if it is the last data centre of a service
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
      return rejected(
          new Problem(
              ProblemKind.UNKNOWN_DATA_CENTRE,
              "there is no data centre " + dataCentre,
              "use a name listed by 'cactusctl status'"));
    }
    OptionalLong alreadyApplied = appliedVersion(table);
    if (alreadyApplied.isPresent()) {
      return new Step.Done(new EditOutcome.Accepted(alreadyApplied.getAsLong()));
    }
    if (row.evacuated() == evacuated) {
      return new Step.Done(new EditOutcome.Accepted(table.version()));
    }
    Optional<Route> unservedRoute =
        evacuated && !force ? findRouteWithoutAlternative(table) : Optional.empty();
    if (unservedRoute.isPresent()) {
      return rejected(
          Problem.invalid(
              dataCentre
                  + " is the last data centre of service "
                  + unservedRoute.get().key().service(),
              "take another data centre back in first, or add --force"));
    }
    var operationIds = new ArrayList<String>();
    operationIds.add(operation);
    operationIds.addAll(
        row.operations()
            .subList(0, Math.min(row.operations().size(), Route.MAX_RECORDED_OPERATIONS - 1)));
    return new Step.Commit(
        List.of(), List.of(new DataCentreRow(dataCentre, evacuated, row.version(), operationIds)));
  }

  private static Step rejected(Problem problem) {
    return new Step.Done(new EditOutcome.NotAccepted(problem));
  }

  private Optional<Route> findRouteWithoutAlternative(ConfigurationTable table) {
    return table.routes().values().stream()
        .filter(route -> route.key().dataCentre().equals(dataCentre) && route.weight() > 0)
        .filter(
            route ->
                table.routesOf(route.key().service()).stream()
                    .noneMatch(
                        other ->
                            !other.key().dataCentre().equals(dataCentre)
                                && other.weight() > 0
                                && !table.isEvacuated(other.key().dataCentre())))
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
