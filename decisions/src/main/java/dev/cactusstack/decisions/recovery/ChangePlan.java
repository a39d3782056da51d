package dev.cactusstack.decisions.recovery;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A planned change of the table under one operation id. Implementations are immutable and
 * thread-safe.
 *
 * <p>Each row of a commit carries the version that the row is expected to have. Once a row has
 * another version, an earlier commit of the same rows whose response was lost can no longer take
 * effect.
 */
public interface ChangePlan {

  /**
   * Returns the operation's id.
   *
   * @return the id
   */
  String operation();

  /**
   * Validates the change against the table and computes the rows to commit.
   *
   * @param table the table as just read
   * @return the rows to commit, with their expected versions, or an outcome that ends the change
   */
  Step nextStep(ConfigurationTable table);

  /**
   * Checks whether the operation is already committed.
   *
   * @param table the table as just read
   * @return the version that contains the operation, if a row still records it
   */
  OptionalLong appliedVersion(ConfigurationTable table);

  /** The next step after reading the table. */
  sealed interface Step {
    /**
     * Commit rows.
     *
     * @param routes the route rows to write, with their expected versions
     * @param dataCentres the data centre rows to write, with their expected versions
     */
    record Commit(List<Route> routes, List<DataCentreRow> dataCentres) implements Step {
      /** Copies the rows. */
      public Commit {
        routes = List.copyOf(routes);
        dataCentres = List.copyOf(dataCentres);
      }

      /**
       * Returns the rows as they are after the commit.
       *
       * @param revision the revision that contains them
       * @return a partial table that can be merged into the table
       */
      public ConfigurationTable committedAt(long revision) {
        var committedRoutes = new TreeMap<RouteKey, Route>();
        routes.forEach(row -> committedRoutes.put(row.key(), row.withVersion(revision)));
        var committedDataCentres = new TreeMap<DataCentre, DataCentreRow>();
        dataCentres.forEach(
            row ->
                committedDataCentres.put(
                    row.dataCentre(),
                    new DataCentreRow(
                        row.dataCentre(), row.evacuated(), revision, row.operations())));
        return new ConfigurationTable(revision, committedRoutes, committedDataCentres);
      }

      /**
       * Determines the status of this commit after its response was lost. The rows are committed
       * atomically.
       *
       * @param currentTable the table as just read
       * @return the status that the rows show
       */
      public CommitStatus statusIn(ConfigurationTable currentTable) {
        Objects.requireNonNull(currentTable, "currentTable is null");
        return Stream.concat(
                routes.stream()
                    .map(
                        expectedRow ->
                            currentTable
                                .route(expectedRow.key())
                                .map(
                                    currentRow ->
                                        rowStatus(
                                            expectedRow.version(),
                                            expectedRow.operations(),
                                            currentRow.version(),
                                            currentRow.operations()))
                                .orElse(CommitStatus.UNKNOWN)),
                dataCentres.stream()
                    .map(
                        expectedDataCentre -> {
                          DataCentreRow currentRow =
                              currentTable.dataCentres().get(expectedDataCentre.dataCentre());
                          return currentRow == null
                              ? CommitStatus.UNKNOWN
                              : rowStatus(
                                  expectedDataCentre.version(),
                                  expectedDataCentre.operations(),
                                  currentRow.version(),
                                  currentRow.operations());
                        }))
            .reduce(CommitStatus::combine)
            .orElse(CommitStatus.UNKNOWN);
      }

      private static CommitStatus rowStatus(
          long expectedVersion,
          List<String> writtenOperations,
          long currentVersion,
          List<String> currentOperations) {
        if (currentVersion == expectedVersion) {
          return CommitStatus.PENDING;
        }
        if (currentOperations.contains(writtenOperations.get(0))) {
          return CommitStatus.APPLIED;
        }
        boolean historyComplete =
            writtenOperations.size() == 1
                ? currentOperations.size() < Route.MAX_RECORDED_OPERATIONS
                : currentOperations.contains(writtenOperations.get(1));
        return historyComplete ? CommitStatus.NOT_APPLIED : CommitStatus.UNKNOWN;
      }
    }

    /**
     * Finish without a commit.
     *
     * @param outcome the outcome of the change
     */
    record Done(EditOutcome outcome) implements Step {}
  }
}
