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
   * @param revision the revision the reader already has; 0 reads all rows
   * @return the changed rows with the revision they were read at, or an {@link
   *     dev.cactusstack.http.HttpException}
   */
  CompletableFuture<ConfigurationTable> readChanges(long revision);

  /**
   * Writes rows atomically if each stored row still has the expected version (0: does not exist).
   *
   * @param routes rows to write; the version of each row is the expected one
   * @param dataCentres rows to write; the version of each row is the expected one
   * @return the outcome, or an {@link dev.cactusstack.http.HttpException}
   */
  CompletableFuture<CommitOutcome> commit(List<Route> routes, List<DataCentreRow> dataCentres);

  /** The outcome of a transaction. */
  sealed interface CommitOutcome {
    /**
     * All rows were written.
     *
     * @param revision the revision that contains them
     */
    record Committed(long revision) implements CommitOutcome {}

    /** A row had a different version; nothing was written. */
    record VersionMismatch() implements CommitOutcome {}

    /**
     * The service rejected the transaction; nothing was written.
     *
     * @param reason the status and body of the response
     */
    record Rejected(String reason) implements CommitOutcome {}
  }
}
