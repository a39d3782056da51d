package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.decisions.registrations.SuspensionDetector;
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
import java.util.function.Supplier;

/**
 * Tracks the other hosts of the site: registers this host, reads the registrations of others, and
 * gossips about which hosts are alive. {@link ReaderRole} tells which of them watch the store.
 * Confined to the event loop.
 */
public final class HostsController {
  private static final long GOSSIP_INTERVAL_MS = PeerTable.HEARTBEAT_INTERVAL_MS;
  private static final int GOSSIP_FANOUT = 3;
  private static final int LEAVING_FANOUT = 16;
  private static final int MAX_HEARTBEATS = 80;
  private static final int MAX_STARTED_HOSTS = 8;
  private static final long RECENT_START_MS = 6_000;
  private static final int CONFIGURATION_FANOUT = 3;

  /** Time that this host did not run above which messages that waited may be too old. */
  private static final long MIN_STOP_MS = 1_000;

  private static final long EXPIRY_AFTER_STOP_MS = 2_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final LongSupplier timeOfDay;
  private final EventLog log;
  private final PeerTable peers;
  private final Link link;
  private final ConfigurationController configuration;
  private final HostRegistration self;
  private final Random random;
  private final Supplier<StoreContact> storeContact;
  private final BooleanSupplier knowsUpstreams;
  private final SelfRegistration registration;
  private final ReaderRole readerRole;
  private final SuspensionDetector suspensionDetector;
  private long lastRoundAtMs;

  /**
   * Creates a controller.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param timeOfDay the time of day, in milliseconds, which also counts while the machine is
   *     suspended
   * @param log logs changes
   * @param store the store that hosts register in
   * @param peers membership state of all hosts
   * @param link sends messages to other hosts
   * @param configuration the configuration whose revision is gossiped
   * @param self this host's registration
   * @param random chooses which heartbeats are sent when there are too many
   * @param storeContact supplies what this host knows about its path to the store
   * @param knowsUpstreams whether this host has read the upstreams
   */
  public HostsController(
      EventLoop loop,
      LongSupplier clock,
      LongSupplier timeOfDay,
      EventLog log,
      SiteStore store,
      PeerTable peers,
      Link link,
      ConfigurationController configuration,
      HostRegistration self,
      Random random,
      Supplier<StoreContact> storeContact,
      BooleanSupplier knowsUpstreams) {
    this.loop = loop;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.suspensionDetector = new SuspensionDetector(clock.getAsLong(), timeOfDay.getAsLong());
    this.log = log;
    this.peers = peers;
    this.link = link;
    this.configuration = configuration;
    this.self = self;
    this.random = random;
    this.storeContact = storeContact;
    this.knowsUpstreams = knowsUpstreams;
    this.registration =
        new SelfRegistration(loop, clock, log, store, peers, self, this::startGossip);
    this.readerRole =
        new ReaderRole(loop, clock, log, peers, configuration, self, registration::isRegistered);
  }

  /** Registers this host, and starts to gossip once it is registered. */
  public void start() {
    long now = clock.getAsLong();
    readerRole.recordStart(now);
    peers.recordStart(self, now);
    registration.register();
    loop.schedule(
        configuration::updateReaderRole, ReaderRole.STARTUP_SETTLE_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Checks whether this host has registered and has read the other hosts.
   *
   * @return false until both have succeeded once
   */
  public boolean knowsHosts() {
    return registration.isRegistered();
  }

  /**
   * Returns whether this host watches the configuration in the store. It does not right after its
   * start, when it has read the configuration but does not know the other hosts yet.
   *
   * @return true if this host is chosen as a reader, or is not registered, so that other hosts
   *     cannot announce changes to it
   */
  public boolean isConfigurationReader() {
    return readerRole.isReader();
  }

  /**
   * Sends a changed configuration to other hosts.
   *
   * @param snapshot the changed configuration
   */
  public void announceConfiguration(ConfigurationSnapshot snapshot) {
    var message = new LinkMessage.ConfigurationUpdate(snapshot);
    peers
        .localTargets(CONFIGURATION_FANOUT, clock.getAsLong())
        .forEach(host -> link.send(message, host.linkAddress()));
  }

  /**
   * Replies to a configuration query if this host has a newer configuration.
   *
   * @param query the message
   * @param from its sender
   */
  public void onConfigurationQuery(LinkMessage.ConfigurationQuery query, Address from) {
    configuration
        .snapshot()
        .filter(newer -> newer.configuration().revision() > query.knownRevision())
        .ifPresent(newer -> link.send(new LinkMessage.ConfigurationUpdate(newer), from));
  }

  private void startGossip() {
    lastRoundAtMs = clock.getAsLong();
    gossipRound();
    loop.scheduleAtFixedRate(
        this::gossipRound, GOSSIP_INTERVAL_MS, GOSSIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Handles a restore of the store, after which this host's registration may be missing in it, by
   * writing it again. The incarnation stays, because the host did not start again.
   *
   * @param era the era that the restore has begun
   */
  public void onStoreRestored(long era) {
    registration.onStoreRestored(era);
  }

  /** Announces to other hosts that this one accepts no new callers. */
  public void announceLeaving() {
    peers.markLeaving();
    sendGossip(LEAVING_FANOUT);
  }

  /**
   * Handles gossip of another host.
   *
   * @param gossip the message
   * @param from its sender
   */
  public void onGossip(LinkMessage.Gossip gossip, Address from) {
    long now = clock.getAsLong();
    for (HostRegistration host : gossip.startedHosts()) {
      if (peers.recordStart(host, now)) {
        log.event("host")
            .with("name", host.name())
            .with("data_centre", host.dataCentre())
            .with("incarnation", host.incarnation())
            .write();
      }
    }
    peers.mergeHeartbeats(gossip.heartbeats(), now);
    onStoreRestored(StoreRevision.eraOf(gossip.configurationRevision()));
    configuration.onRevisionAnnounced(
        gossip.configurationRevision(),
        knownRevision -> link.send(new LinkMessage.ConfigurationQuery(knownRevision), from));
  }

  private void gossipRound() {
    distrustAfterStop();
    configuration.updateReaderRole();
    readerRole.checkReaders();
    sendGossip(GOSSIP_FANOUT);
  }

  /** Gives other hosts less time to be heard of if this host did not run for a while. */
  private void distrustAfterStop() {
    long now = clock.getAsLong();
    boolean stopped = now - lastRoundAtMs >= GOSSIP_INTERVAL_MS + MIN_STOP_MS;
    boolean suspended = suspensionDetector.suspendedMs(now, timeOfDay.getAsLong()) >= MIN_STOP_MS;
    lastRoundAtMs = now;
    if (stopped || suspended) {
      log.event("host_was_stopped").with("cause", suspended ? "suspended" : "paused").write();
      peers.expireUnlessHeardOf(EXPIRY_AFTER_STOP_MS, now);
    }
  }

  private void sendGossip(int fanout) {
    long now = clock.getAsLong();
    List<HeartbeatState> states =
        peers.startRound(storeContact.get(), knowsUpstreams.getAsBoolean(), now);
    if (states.size() > MAX_HEARTBEATS) {
      Collections.shuffle(states.subList(1, states.size()), random);
      states = states.subList(0, MAX_HEARTBEATS);
    }
    var gossip =
        new LinkMessage.Gossip(
            configuration.lastChangeRevision(),
            peers.recentlyStarted(RECENT_START_MS, MAX_STARTED_HOSTS, now),
            states);
    peers.gossipTargets(fanout, now).forEach(host -> link.send(gossip, host.linkAddress()));
  }
}
