package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.ConfigurationReaders;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.ReaderSilence;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Knows whether this host is chosen to watch the configuration in the store, and reads it when the
 * hosts that are chosen fall silent. Confined to the event loop.
 */
final class ReaderRole {
  /** Time after the start in which this host does not know the other hosts yet. */
  static final long STARTUP_SETTLE_MS = 1_500;

  private static final long MAX_CHECK_DELAY_MS = PeerTable.HEARTBEAT_INTERVAL_MS;
  private static final ConfigurationReaders CONFIGURATION_READERS = new ConfigurationReaders(3);

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final PeerTable peers;
  private final ConfigurationController configuration;
  private final HostRegistration self;
  private final BooleanSupplier isRegistered;
  private final ReaderSilence readerSilence = new ReaderSilence();
  private boolean checkPending;
  private long startedAtMs;

  /**
   * Creates the role of a host that has not started.
   *
   * @param loop the event loop that checks are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs silent readers
   * @param peers membership state of all hosts
   * @param configuration reads the configuration
   * @param self this host's registration
   * @param isRegistered whether this host has registered and has read the other hosts
   */
  ReaderRole(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      PeerTable peers,
      ConfigurationController configuration,
      HostRegistration self,
      BooleanSupplier isRegistered) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.peers = peers;
    this.configuration = configuration;
    this.self = self;
    this.isRegistered = isRegistered;
  }

  /**
   * Records the start of this host.
   *
   * @param nowMs the current time on the monotonic clock, in milliseconds
   */
  void recordStart(long nowMs) {
    startedAtMs = nowMs;
  }

  /**
   * Returns whether this host watches the configuration in the store. It does not right after its
   * start, when it has read the configuration but does not know the other hosts yet.
   *
   * @return true if this host is chosen as a reader, or is not registered, so that other hosts
   *     cannot announce changes to it
   */
  boolean isReader() {
    long now = clock.getAsLong();
    if (now - startedAtMs < STARTUP_SETTLE_MS) {
      return false;
    }
    return !isRegistered.getAsBoolean() || rankReaders(now).isReader(self);
  }

  /** Reads the configuration if no host that watches the store has been heard of lately. */
  void checkReaders() {
    long now = clock.getAsLong();
    if (checkPending || !isRegistered.getAsBoolean() || now - startedAtMs < STARTUP_SETTLE_MS) {
      return;
    }
    ConfigurationReaders.Ranking ranking = rankReaders(now);
    if (ranking.isReader(self)) {
      return;
    }
    OptionalLong ageMs = peers.youngestHeartbeatAgeMs(ranking.readers(), now);
    long waitMs = readerSilence.untilReadMs(ageMs, now);
    if (waitMs == 0) {
      log.event("configuration_readers_silent").with("age_ms", ageMs.orElse(-1)).write();
      readerSilence.recordRead(now);
      configuration.readUnwatched();
    } else if (waitMs < MAX_CHECK_DELAY_MS) {
      checkPending = true;
      loop.schedule(this::checkReadersAgain, waitMs, TimeUnit.MILLISECONDS);
    }
  }

  private void checkReadersAgain() {
    checkPending = false;
    checkReaders();
  }

  private ConfigurationReaders.Ranking rankReaders(long now) {
    return CONFIGURATION_READERS.rank(peers.reachingStore(now));
  }
}
