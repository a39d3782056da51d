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
 * A change of the table under one operation id. Implementations are immutable and thread-safe.
 *
 * <p>The rows of a commit carry the version each must still have. So once a row has another
 * version, an earlier commit of the same rows, whose answer was lost, can no longer take effect.
 */
public interface ChangePlan {

  /**
   * Returns the operation's id.
   *
   * @return the id
   */
  String operation();

  /**
   * Checks the change against the table and computes the rows to commit.
   *
   * @param table the table as just read
   * @return rows that carry the version each must still have; or an outcome that ends the change
   */
  Step nextStep(ConfigurationTable table);

  /**
   * Finds out whether the operation is committed.
   *
   * @param table the table as just read
   * @return the version that contains it, if a row still remembers it
   */
  OptionalLong appliedVersion(ConfigurationTable table);

  /** What to do after a read of the table. */
  sealed interface Step {
    /**
     * Commit these rows.
     *
     * @param routes rows that carry the version each must still have
     * @param dataCentres rows that carry the version each must still have
     */
    record Commit(List<Route> routes, List<DataCentreRow> dataCentres) implements Step {
      /** Copies the rows. */
      public Commit {
        routes = List.copyOf(routes);
        dataCentres = List.copyOf(dataCentres);
      }

      /**
       * Returns the rows as they are once committed.
       *
       * @param revision the revision that contains them
       * @return a change that a table can merge
       */
      public ConfigurationTable committedAt(long revision) {
        var r = new TreeMap<RouteKey, Route>();
        routes.forEach(x -> r.put(x.key(), x.withVersion(revision)));
        var d = new TreeMap<DataCentre, DataCentreRow>();
        dataCentres.forEach(
            x ->
                d.put(
                    x.dataCentre(),
                    new DataCentreRow(x.dataCentre(), x.evacuated(), revision, x.operations())));
        return new ConfigurationTable(revision, r, d);
      }

      /**
       * Finds out what became of this commit when its answer was lost. All rows are written
       * together or none is.
       *
       * @param now the table as just read
       * @return what the rows tell
       */
      public CommitStatus statusIn(ConfigurationTable now) {
        Objects.requireNonNull(now, "now is null");
        return Stream.concat(
                routes.stream()
                    .map(
                        r ->
                            now.route(r.key())
                                .map(
                                    n ->
                                        rowFate(
                                            r.version(),
                                            r.operations(),
                                            n.version(),
                                            n.operations()))
                                .orElse(CommitStatus.UNKNOWN)),
                dataCentres.stream()
                    .map(
                        d -> {
                          DataCentreRow n = now.dataCentres().get(d.dataCentre());
                          return n == null
                              ? CommitStatus.UNKNOWN
                              : rowFate(d.version(), d.operations(), n.version(), n.operations());
                        }))
            .reduce(CommitStatus::combine)
            .orElse(CommitStatus.UNKNOWN);
      }

      private static CommitStatus rowFate(
          long expected, List<String> written, long version, List<String> operations) {
        if (version == expected) {
          return CommitStatus.PENDING;
        }
        if (operations.contains(written.get(0))) {
          return CommitStatus.APPLIED;
        }
        boolean remembersAll =
            written.size() == 1
                ? operations.size() < Route.MAX_RECORDED_OPERATIONS
                : operations.contains(written.get(1));
        return remembersAll ? CommitStatus.NOT_APPLIED : CommitStatus.UNKNOWN;
      }
    }

    /**
     * Nothing is left to commit.
     *
     * @param outcome what became of the change
     */
    record Done(EditOutcome outcome) implements Step {}
  }
}
