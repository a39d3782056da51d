package dev.cactusstack.storage;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of hosts, which is eventually consistent. Implementations are thread-safe.
 */
public interface HostList {

  /**
   * Reads the changes after a revision.
   *
   * @param revision the revision the reader already has; 0 reads the whole list
   * @return the changes, or an {@link dev.cactusstack.http.HttpException}
   */
  CompletableFuture<HostChanges> readHostChanges(long revision);
}
