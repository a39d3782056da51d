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
  private static final long ROUND_MS = 400;
  private static final int TOLD_EACH_ROUND = 3;
  private static final int TOLD_WHEN_LEAVING = 16;
  private static final int MOST_PULSES = 80;
  private static final int MOST_NEWS = 8;
  private static final long NEWS_MS = 6_000;
  private static final long RETRY_MS = 400;
  private static final long SETTLE_MS = 1_500;
  private static final int TOLD_OF_CHANGE = 3;
  private static final ConfigurationReaders READERS = new ConfigurationReaders(6);

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final PeerTable peers;
  private final Link link;
  private final ConfigurationController configuration;
  private final HostRegistration self;
  private final Random random;
  private final BooleanSupplier informed;
  private final BooleanSupplier knowing;
  private long startedMs;
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
   * @param informed whether this host reaches the store
   * @param knowing whether this host has read the upstreams
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
      BooleanSupplier informed,
      BooleanSupplier knowing) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.peers = peers;
    this.link = link;
    this.configuration = configuration;
    this.self = self;
    this.random = random;
    this.informed = informed;
    this.knowing = knowing;
  }

  /** Registers this host, and begins to gossip once that is done. */
  public void start() {
    startedMs = clock.getAsLong();
    peers.recordStart(self, startedMs);
    register();
    loop.schedule(configuration::updateReaderRole, SETTLE_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Tells whether this host follows the store's configuration. Right after its start it does not:
   * it has read the configuration, and doesn't know yet who else is there.
   *
   * @return true for a reader, and for a host that other hosts can't tell of changes
   */
  public boolean isConfigurationReader() {
    long now = clock.getAsLong();
    if (now - startedMs < SETTLE_MS) {
      return false;
    }
    return !registered || READERS.isReader(self, peers.reachingStore(now));
  }

  /**
   * Tells other hosts of a change of the configuration.
   *
   * @param known the configuration with the change
   */
  public void announceConfiguration(ConfigurationSnapshot known) {
    var message = new LinkMessage.ConfigurationUpdate(known);
    peers
        .localTargets(TOLD_OF_CHANGE, clock.getAsLong())
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
            entry -> {
              peers.recordStart(entry, clock.getAsLong());
              return store.readHosts();
            })
        .whenComplete(
            (all, failure) -> {
              if (failure != null) {
                log.event("register_failed")
                    .with("cause", String.valueOf(failure.getMessage()))
                    .write();
                loop.schedule(this::register, RETRY_MS, TimeUnit.MILLISECONDS);
                return;
              }
              all.forEach(e -> peers.recordStart(e, clock.getAsLong()));
              log.event("registered").with("hosts", all.size()).write();
              registered = true;
              round();
              loop.scheduleAtFixedRate(this::round, ROUND_MS, ROUND_MS, TimeUnit.MILLISECONDS);
            });
  }

  /** Tells other hosts that this one gets no new callers. */
  public void announceLeaving() {
    peers.markLeaving();
    tell(TOLD_WHEN_LEAVING);
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
        beat.configurationRevision(),
        after -> link.send(new LinkMessage.ConfigurationQuery(after), from));
  }

  private void round() {
    configuration.updateReaderRole();
    tell(TOLD_EACH_ROUND);
  }

  private void tell(int count) {
    long now = clock.getAsLong();
    List<HeartbeatState> pulses =
        peers.startRound(informed.getAsBoolean(), knowing.getAsBoolean(), now);
    if (pulses.size() > MOST_PULSES) {
      Collections.shuffle(pulses.subList(1, pulses.size()), random);
      pulses = pulses.subList(0, MOST_PULSES);
    }
    var beat =
        new LinkMessage.Gossip(
            configuration.lastChangeRevision(),
            peers.recentlyStarted(NEWS_MS, MOST_NEWS, now),
            pulses);
    peers.gossipTargets(count, now).forEach(e -> link.send(beat, e.linkAddress()));
  }
}
