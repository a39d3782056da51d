package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.HostRegistration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * What lasts: the operators' configuration, the upstreams' entries, and the hosts' entries.
 *
 * <p>Futures complete on the host's event loop, exceptionally with a {@link StoreException}.
 */
public interface SiteStore {
  /**
   * Reads the whole configuration.
   *
   * @return the configuration with its revision
   */
  CompletableFuture<ConfigurationChange> readConfiguration();

  /**
   * Waits for a change of the configuration.
   *
   * @param knownRevision the revision that is known
   * @param maxWaitMs longest time to wait, in milliseconds
   * @return what has changed, possibly nothing
   */
  CompletableFuture<ConfigurationChange> watchConfiguration(long knownRevision, long maxWaitMs);

  /**
   * Reads all upstreams.
   *
   * @return all entries
   */
  CompletableFuture<UpstreamChange> readUpstreams();

  /**
   * Reads which upstreams have changed.
   *
   * @param after the revision that is known
   * @return what has changed, possibly nothing
   */
  CompletableFuture<UpstreamChange> readUpstreamChanges(long after);

  /**
   * Reads all hosts.
   *
   * @return their entries
   */
  CompletableFuture<List<HostRegistration>> readHosts();

  /**
   * Writes this host's entry.
   *
   * @param registration the entry; its incarnation is not used
   * @return the entry with the incarnation that the store gave it
   */
  CompletableFuture<HostRegistration> register(HostRegistration registration);

  /**
   * Counts the calls made so far.
   *
   * @return the count
   */
  long callCount();

  /**
   * Counts the calls that brought no result.
   *
   * @return the count
   */
  long failedCallCount();
}
