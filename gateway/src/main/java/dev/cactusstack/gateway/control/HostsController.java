package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.ConfigurationReaders;
import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * What this host believes of other hosts: it registers itself, learns who is registered, and
 * gossips about who is alive. Confined to the event loop.
 */
public final class HostsController {
  private static final long GOSSIP_INTERVAL_MS = 400;
  private static final int GOSSIP_FANOUT = 3;
  private static final int LEAVING_FANOUT = 16;
  private static final int MAX_HEARTBEATS = 80;
  private static final int MAX_STARTED_HOSTS = 8;
  private static final long RECENT_START_MS = 6_000;
  private static final long REGISTER_RETRY_MS = 400;
  private static final long STARTUP_SETTLE_MS = 1_500;
  private static final int CONFIGURATION_FANOUT = 3;
  private static final ConfigurationReaders CONFIGURATION_READERS = new ConfigurationReaders(6);

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final PeerTable peers;
  private final Link link;
  private final ConfigurationController configuration;
  private final HostRegistration self;
  private final Random random;
  private final BooleanSupplier reachesStore;
  private final BooleanSupplier knowsUpstreams;
  private long startedAtMs;
  private boolean registered;

  /**
   * Creates a controller.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where changes are told
   * @param store where hosts are registered
   * @param peers what is known of other hosts
   * @param link the way to other hosts
   * @param configuration whose revision is told along
   * @param self this host's entry
   * @param random chooses what is told
   * @param reachesStore whether this host reaches the store
   * @param knowsUpstreams whether this host has read the upstreams
   */
  public HostsController(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      PeerTable peers,
      Link link,
      ConfigurationController configuration,
      HostRegistration self,
      Random random,
      BooleanSupplier reachesStore,
      BooleanSupplier knowsUpstreams) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.peers = peers;
    this.link = link;
    this.configuration = configuration;
    this.self = self;
    this.random = random;
    this.reachesStore = reachesStore;
    this.knowsUpstreams = knowsUpstreams;
  }

  /** Registers this host, and begins to gossip once that is done. */
  public void start() {
    startedAtMs = clock.getAsLong();
    peers.recordStart(self, startedAtMs);
    register();
    loop.schedule(configuration::updateReaderRole, STARTUP_SETTLE_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Tells whether this host follows the store's configuration. Right after its start it does not:
   * it has read the configuration, and doesn't know yet who else is there.
   *
   * @return true for a reader, and for a host that other hosts can't tell of changes
   */
  public boolean isConfigurationReader() {
    long now = clock.getAsLong();
    if (now - startedAtMs < STARTUP_SETTLE_MS) {
      return false;
    }
    return !registered || CONFIGURATION_READERS.isReader(self, peers.reachingStore(now));
  }

  /**
   * Tells other hosts of a change of the configuration.
   *
   * @param known the configuration with the change
   */
  public void announceConfiguration(ConfigurationSnapshot known) {
    var message = new LinkMessage.ConfigurationUpdate(known);
    peers
        .localTargets(CONFIGURATION_FANOUT, clock.getAsLong())
        .forEach(e -> link.send(message, e.linkAddress()));
  }

  /**
   * Answers a host that asks for the configuration, if this one has a newer one.
   *
   * @param wanted the message
   * @param from its sender
   */
  public void onConfigurationQuery(LinkMessage.ConfigurationQuery wanted, Address from) {
    configuration
        .snapshot()
        .filter(k -> k.configuration().revision() > wanted.knownRevision())
        .ifPresent(k -> link.send(new LinkMessage.ConfigurationUpdate(k), from));
  }

  private void register() {
    store
        .register(self)
        .thenCompose(
            registration -> {
              peers.recordStart(registration, clock.getAsLong());
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
              gossipRound();
              loop.scheduleAtFixedRate(this::gossipRound, GOSSIP_INTERVAL_MS, GOSSIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
            });
  }

  /** Tells other hosts that this one gets no new callers. */
  public void announceLeaving() {
    peers.markLeaving();
    sendGossip(LEAVING_FANOUT);
  }

  /**
   * Takes in another host's gossip.
   *
   * @param beat the message
   * @param from its sender
   */
  public void onGossip(LinkMessage.Gossip beat, Address from) {
    long now = clock.getAsLong();
    for (HostRegistration e : beat.recentlyStarted()) {
      if (peers.recordStart(e, now)) {
        log.event("host")
            .with("name", e.name())
            .with("data_centre", e.dataCentre())
            .with("incarnation", e.incarnation())
            .write();
      }
    }
    peers.mergeHeartbeats(beat.heartbeats(), now);
    configuration.onRevisionAnnounced(
        beat.configurationRevision(), after -> link.send(new LinkMessage.ConfigurationQuery(after), from));
  }

  private void gossipRound() {
    configuration.updateReaderRole();
    sendGossip(GOSSIP_FANOUT);
  }

  private void sendGossip(int count) {
    long now = clock.getAsLong();
    List<HeartbeatState> pulses =
        peers.startRound(reachesStore.getAsBoolean(), knowsUpstreams.getAsBoolean(), now);
    if (pulses.size() > MAX_HEARTBEATS) {
      Collections.shuffle(pulses.subList(1, pulses.size()), random);
      pulses = pulses.subList(0, MAX_HEARTBEATS);
    }
    var beat =
        new LinkMessage.Gossip(
            configuration.lastChangeRevision(), peers.recentlyStarted(RECENT_START_MS, MAX_STARTED_HOSTS, now), pulses);
    peers.gossipTargets(count, now).forEach(e -> link.send(beat, e.linkAddress()));
  }
}
