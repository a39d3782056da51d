package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RolloutStatus;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Persistent store of the operators' configuration and of the registrations of upstreams and hosts.
 *
 * <p>Futures complete on the host's event loop. If a call fails they complete exceptionally, and
 * {@link StoreException#of(Throwable)} returns the reason.
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
   * @param knownRevision the last revision that the host has read
   * @param maxWaitMs maximum time to wait, in milliseconds
   * @return the changes since that revision, possibly none
   */
  CompletableFuture<ConfigurationChange> watchConfiguration(long knownRevision, long maxWaitMs);

  /**
   * Reads the registrations of all upstreams.
   *
   * @return all registrations
   */
  CompletableFuture<UpstreamChange> readUpstreams();

  /**
   * Reads the upstream registrations that have changed.
   *
   * @param knownRevision the last revision that the host has read
   * @return the changes since that revision, possibly none
   */
  CompletableFuture<UpstreamChange> readUpstreamChanges(long knownRevision);

  /**
   * Reads the registrations of all hosts.
   *
   * @return their registrations
   */
  CompletableFuture<List<HostRegistration>> readHosts();

  /**
   * Registers this host.
   *
   * @param registration the registration; its incarnation is ignored
   * @return the registration with the incarnation that the store assigned
   */
  CompletableFuture<HostRegistration> register(HostRegistration registration);

  /**
   * Reads the status of a service's roll-out.
   *
   * @param service the service's name
   * @return the row, which may not exist
   */
  CompletableFuture<RolloutRow> readRolloutStatus(String service);

  /**
   * Writes the status of a service's roll-out if its row has not changed.
   *
   * @param service the service's name
   * @param status the status
   * @param expectedRevision the revision of the row that was read, 0 if there was none
   * @return the new revision of the row
   */
  CompletableFuture<Long> writeRolloutStatus(
      String service, RolloutStatus status, long expectedRevision);

  /**
   * Returns the number of calls made so far.
   *
   * @return the count
   */
  long callCount();

  /**
   * Returns the number of calls that failed.
   *
   * @return the count
   */
  long failedCallCount();
}
