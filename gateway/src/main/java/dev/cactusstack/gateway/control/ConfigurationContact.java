package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.workspaces.ConfigurationStaleness;
import dev.cactusstack.gateway.observe.EventLog;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Knows whether the configuration of this host may be stale. If it may be, a question for it causes
 * a read of the store, so that a later question gets a better answer. Confined to the event loop.
 */
public final class ConfigurationContact {
  private final LongSupplier clock;
  private final EventLog log;
  private final ConfigurationController configuration;
  private final UpstreamsController upstreams;
  private final PeerTable peers;
  private final ConfigurationStaleness staleness = new ConfigurationStaleness();

  /**
   * Creates a contact.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param log logs reads of the store
   * @param configuration reads the configuration
   * @param upstreams reads the upstreams, which also shows that the configuration has changed
   * @param peers the other hosts
   */
  public ConfigurationContact(
      LongSupplier clock,
      EventLog log,
      ConfigurationController configuration,
      UpstreamsController upstreams,
      PeerTable peers) {
    this.clock = clock;
    this.log = log;
    this.configuration = configuration;
    this.upstreams = upstreams;
    this.peers = peers;
  }

  /**
   * Checks whether other hosts may have a newer configuration.
   *
   * @return true if this host may not know a key that is valid
   */
  public boolean mayBeStale() {
    long now = clock.getAsLong();
    long ownReadAgeMs = Math.min(configuration.readAgeMs(), upstreams.ageMs());
    OptionalLong confirmedAgeMs = peers.confirmedHeartbeatAgeMs(now);
    boolean mayBeBehind = configuration.mayBeBehind();
    if (!ConfigurationStaleness.mayBeStale(ownReadAgeMs, confirmedAgeMs, mayBeBehind)) {
      return false;
    }
    if (staleness.tryAcquireRead(now)) {
      log.event("configuration_unconfirmed")
          .with("own_read_ms", ownReadAgeMs)
          .with("age_ms", confirmedAgeMs.orElse(-1))
          .with("newer", mayBeBehind ? "known" : "unknown")
          .write();
      configuration.readUnwatched();
    }
    return true;
  }
}
