package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Registers this host in the store when it starts, and again after a restore of the store. Confined
 * to the event loop.
 */
final class SelfRegistration {
  private static final long REGISTER_RETRY_MS = 400;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final PeerTable peers;
  private final HostRegistration self;
  private final Runnable registeredListener;
  private boolean registered;
  private HostRegistration ownRegistration;
  private long knownEra;
  private long rowEra;
  private boolean rewriting;

  /**
   * Creates a registration that is not in the store yet.
   *
   * @param loop the event loop that retries are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs calls of the store
   * @param store the store that hosts register in
   * @param peers receives the registrations of all hosts
   * @param self this host's registration
   * @param registeredListener runs once when this host has registered and has read the other hosts
   */
  SelfRegistration(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      PeerTable peers,
      HostRegistration self,
      Runnable registeredListener) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.peers = peers;
    this.self = self;
    this.ownRegistration = self;
    this.registeredListener = registeredListener;
  }

  /**
   * Checks whether this host has registered and has read the other hosts.
   *
   * @return false until both have succeeded once
   */
  boolean isRegistered() {
    return registered;
  }

  /** Registers this host and reads the other hosts, until both succeed. */
  void register() {
    store
        .register(self)
        .thenCompose(
            registration -> {
              peers.recordStart(registration, clock.getAsLong());
              ownRegistration = registration;
              rowEra = StoreRevision.eraOf(registration.incarnation());
              return store.readHosts();
            })
        .whenComplete(
            (registrations, failure) -> {
              if (failure != null) {
                log.event("register_failed")
                    .with("cause", String.valueOf(failure.getMessage()))
                    .write();
                loop.schedule(this::register, REGISTER_RETRY_MS, TimeUnit.MILLISECONDS);
                return;
              }
              registrations.forEach(host -> peers.recordStart(host, clock.getAsLong()));
              log.event("registered").with("hosts", registrations.size()).write();
              registered = true;
              onStoreRestored(rowEra);
              registeredListener.run();
            });
  }

  /**
   * Handles a restore of the store, after which this host's registration may be missing in it, by
   * writing it again. The incarnation stays, because the host did not start again.
   *
   * @param era the era that the restore has begun
   */
  void onStoreRestored(long era) {
    knownEra = Math.max(knownEra, era);
    if (!registered || rewriting || rowEra >= knownEra) {
      return;
    }
    rewriting = true;
    long target = knownEra;
    store
        .register(ownRegistration)
        .whenComplete(
            (registration, failure) -> {
              rewriting = false;
              if (failure == null) {
                rowEra = target;
                log.event("registered_again").with("era", target).write();
                onStoreRestored(target);
              } else {
                loop.schedule(
                    () -> onStoreRestored(target), REGISTER_RETRY_MS, TimeUnit.MILLISECONDS);
              }
            });
  }
}
