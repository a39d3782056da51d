package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RolloutStatus;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * Persistent store of the operators' configuration and of the registrations of upstreams and hosts.
 *
 * <p>Futures complete on the host's event loop. If a call fails they complete exceptionally, and
 * {@link StoreException#of(Throwable)} returns the reason.
 *
 * <p>The store may be restored to an older state, after which it assigns revisions again. All
 * revisions here are therefore pairs of era and revision, see {@link
 * dev.cactusstack.decisions.recovery.StoreRevision}, and calls that were answered before a known
 * restore fail.
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
   * @param registration the registration; its incarnation is 0 when the host starts, and kept when
   *     the registration is written again
   * @return the registration with its incarnation, which the store assigned at the start
   */
  CompletableFuture<HostRegistration> register(HostRegistration registration);

  /**
   * Sets the listener for restores of the store to an older state.
   *
   * @param listener receives the era that a restore has begun, once for each, on the event loop and
   *     before the call completes whose answer told it
   */
  default void onRestored(LongConsumer listener) {}

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
