package dev.cactusstack.storage;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.Route;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table service. Implementations are thread-safe. */
public interface TableStore {

  /**
   * Reads the rows changed after a revision.
   *
   * @param revision the revision the reader has; 0 reads all
   * @return the changed rows with the revision they were read at, or an {@link
   *     dev.cactusstack.http.HttpException}
   */
  CompletableFuture<ConfigurationTable> readChanges(long revision);

  /**
   * Writes rows when each still has the version it carries (0: when it does not exist).
   *
   * @param routes rows to write; each row's version is the one expected
   * @param dataCentres rows to write; each row's version is the one expected
   * @return the outcome, or an {@link dev.cactusstack.http.HttpException}
   */
  CompletableFuture<CommitOutcome> commit(List<Route> routes, List<DataCentreRow> dataCentres);

  /** The table service's answer to a transaction. */
  sealed interface CommitOutcome {
    /**
     * All rows are written.
     *
     * @param revision the revision that contains them
     */
    record Committed(long revision) implements CommitOutcome {}

    /** A row had another version; nothing is written. */
    record VersionMismatch() implements CommitOutcome {}

    /**
     * The service refused the transaction; nothing is written.
     *
     * @param reason its words
     */
    record Rejected(String reason) implements CommitOutcome {}
  }
}
