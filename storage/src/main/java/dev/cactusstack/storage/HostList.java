package dev.cactusstack.storage;

import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts, which lags behind the truth. Implementations are thread-safe. */
public interface HostList {

  /**
   * Reads what changed after a revision.
   *
   * @param revision the revision the reader has; 0 reads all
   * @return the changes, or an {@link dev.cactusstack.http.HttpException}
   */
  CompletableFuture<HostChanges> readHostChanges(long revision);
}
