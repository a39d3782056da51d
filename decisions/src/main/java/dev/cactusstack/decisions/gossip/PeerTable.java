package dev.cactusstack.decisions.gossip;

import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which hosts are alive, by gossip of heartbeat counters (van Renesse, Minsky and Hayden,
 * 1998): in each round a host increments its own counter and sends all counters it knows to a few
 * random hosts. A host whose counter has not increased for some time is considered dead.
 *
 * <p>Invariant: the first counter that is received of a host is no sign of life by itself, as it
 * may have been passed on for long. It counts from the time at which the host sent it, so hosts
 * that start one after another do not keep a dead host alive.
 *
 * <p>A host learns about the other hosts from the store when it starts, and from gossip later. The
 * number of messages per host and round is constant. Confined to one thread.
 */
public final class PeerTable {
  /** Time between two heartbeats of a host, in milliseconds. */
  public static final long HEARTBEAT_INTERVAL_MS = 400;

  /** Number of hosts whose calls fail that shows an outage rather than a fault of their own. */
  private static final int MIN_FAILING_HOSTS = 3;

  /** Hosts of a data centre that send to another data centre in a round, on average at most. */
  private static final double REMOTE_SENDERS_PER_DATA_CENTRE = 10;

  private static final double MAX_REMOTE_SHARE = 0.7;

  /** Time after an outage within which upstreams renew their registrations. */
  private static final long OUTAGE_MEMORY_MS = 2_000;

  /** Duration below which failures of all hosts are not remembered as an outage. */
  private static final long MIN_OUTAGE_MS = 800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long deadAfterMs;
  private final RandomGenerator random;
  private final Map<Integer, Peer> peers = new HashMap<>();
  private final int selfHash;
  private HeartbeatState ownState;
  private long outageSinceMs = NEVER;
  private long lastOutageAtMs = NEVER;

  /**
   * Creates a table without any registered host.
   *
   * @param selfName this host's name
   * @param deadAfterMs time without an increase of its counter after which a host is considered
   *     dead, in milliseconds
   * @param random source of randomness for choosing gossip targets
   */
  public PeerTable(String selfName, long deadAfterMs, RandomGenerator random) {
    this.selfHash = hash(selfName);
    this.deadAfterMs = deadAfterMs;
    this.random = random;
    this.ownState = new HeartbeatState(selfHash, 0, 0, false, StoreContact.UNKNOWN, false);
  }

  /**
   * Hashes a host's name.
   *
   * @param name the name
   * @return the number that identifies the host in messages
   */
  public static int hash(String name) {
    return name.hashCode();
  }

  /**
   * Records the start of a host. A host other than this one is considered alive only after an
   * increase of its counter has been received.
   *
   * @param hostRegistration the host's registration
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return true if this start was not known before
   */
  public boolean recordStart(HostRegistration hostRegistration, long nowMs) {
    int nameHash = hash(hostRegistration.name());
    Peer recorded = peers.get(nameHash);
    if (recorded != null && recorded.registration.incarnation() >= hostRegistration.incarnation()) {
      return false;
    }
    peers.put(
        nameHash,
        new Peer(
            hostRegistration,
            new HeartbeatState(
                nameHash, hostRegistration.incarnation(), 0, false, StoreContact.UNKNOWN, false),
            nowMs));
    if (nameHash == selfHash) {
      ownState =
          new HeartbeatState(
              selfHash,
              hostRegistration.incarnation(),
              ownState.counter(),
              ownState.leaving(),
              ownState.storeContact(),
              ownState.knowsUpstreams());
    }
    return true;
  }

  /**
   * Checks whether a host is known to have started at a revision of the store.
   *
   * @param incarnation the revision at which it registered
   * @return true if the last known start of any host has this incarnation
   */
  public boolean isStart(long incarnation) {
    return peers.values().stream().anyMatch(p -> p.registration.incarnation() == incarnation);
  }

  /**
   * Returns hosts that have started recently.
   *
   * @param maxAgeMs maximum time since the start was recorded, in milliseconds
   * @param maxCount maximum number of hosts to return
   * @param nowMs the current time on the same clock, in milliseconds
   * @return their registrations; this host's own comes first, however old it is
   */
  public List<HostRegistration> recentlyStarted(long maxAgeMs, int maxCount, long nowMs) {
    List<HostRegistration> result = new ArrayList<>();
    Peer self = peers.get(selfHash);
    if (self != null) {
      result.add(self.registration);
    }
    for (Peer p : peers.values()) {
      if (result.size() < maxCount && p != self && nowMs - p.startRecordedMs < maxAgeMs) {
        result.add(p.registration);
      }
    }
    return result;
  }

  /**
   * Starts a gossip round by incrementing the counter of this host.
   *
   * @param storeContact what this host knows about its path to the store
   * @param knowsUpstreams whether this host has read the upstreams since its start
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the heartbeats to send: of this host and of all others that are alive
   */
  public List<HeartbeatState> startRound(
      StoreContact storeContact, boolean knowsUpstreams, long nowMs) {
    ownState =
        new HeartbeatState(
            selfHash,
            ownState.incarnation(),
            ownState.counter() + 1,
            ownState.leaving(),
            storeContact,
            knowsUpstreams);
    recordOutage(nowMs);
    List<HeartbeatState> result = new ArrayList<>();
    result.add(ownState);
    for (Peer p : peers.values()) {
      if (p.heartbeat.hostHash() != selfHash && isAlive(p, nowMs)) {
        result.add(p.heartbeat.withAge(nowMs - p.sentAtMs));
      }
    }
    return result;
  }

  /**
   * Chooses the receivers of a gossip message. Most are in this host's data centre, because
   * messages within a data centre are faster and cost less. The more hosts a data centre has, the
   * less often each of them sends to another one, so that the traffic between two data centres does
   * not grow with their size.
   *
   * @param count number of hosts to choose
   * @param nowMs the current time on the same clock, in milliseconds
   * @return distinct registered hosts other than this one
   */
  public List<HostRegistration> gossipTargets(int count, long nowMs) {
    List<HostRegistration> local = new ArrayList<>();
    List<HostRegistration> remote = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (p.heartbeat.hostHash() != selfHash) {
        (isLocal(p.registration) ? local : remote).add(p.registration);
      }
    }
    boolean crosses = random.nextDouble() * local.size() < REMOTE_SENDERS_PER_DATA_CENTRE;
    boolean sendsRemote = !remote.isEmpty() && crosses && random.nextDouble() < MAX_REMOTE_SHARE;
    int remoteCount = sendsRemote ? 1 : 0;
    List<HostRegistration> result = randomSubset(local, count - remoteCount);
    result.addAll(randomSubset(remote, count - result.size()));
    return result;
  }

  /**
   * Chooses random hosts of this host's data centre.
   *
   * @param count maximum number of hosts to choose
   * @param nowMs the current time on the same clock, in milliseconds
   * @return distinct usable hosts other than this one
   */
  public List<HostRegistration> localTargets(int count, long nowMs) {
    List<HostRegistration> local =
        usableHosts(nowMs).stream()
            .filter(host -> isLocal(host) && hash(host.name()) != selfHash)
            .toList();
    return randomSubset(local, count);
  }

  private boolean isLocal(HostRegistration host) {
    Peer self = peers.get(selfHash);
    return self != null && self.registration.dataCentre().equals(host.dataCentre());
  }

  private List<HostRegistration> randomSubset(List<HostRegistration> hosts, int count) {
    List<HostRegistration> shuffled = new ArrayList<>(hosts);
    for (int i = 0; i < Math.min(count, shuffled.size()); i++) {
      int j = i + random.nextInt(shuffled.size() - i);
      HostRegistration swapped = shuffled.get(j);
      shuffled.set(j, shuffled.get(i));
      shuffled.set(i, swapped);
    }
    return new ArrayList<>(shuffled.subList(0, Math.min(Math.max(0, count), shuffled.size())));
  }

  /**
   * Merges heartbeats received from another host. Heartbeats of hosts or incarnations that are not
   * registered are ignored.
   *
   * @param heartbeats the received heartbeats
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void mergeHeartbeats(List<HeartbeatState> heartbeats, long nowMs) {
    for (HeartbeatState received : heartbeats) {
      Peer known = adoptEra(peers.get(received.hostHash()), received);
      if (known == null || received.incarnation() != known.registration.incarnation()) {
        continue;
      }
      if (received.isNewerThan(known.heartbeat)) {
        boolean first = known.lastIncreaseMs == NEVER;
        known.sentAtMs = Math.max(known.sentAtMs, nowMs - received.ageMs());
        known.lastIncreaseMs = first ? known.sentAtMs : nowMs;
        known.heartbeat = received;
      }
    }
  }

  /**
   * Completes the incarnation of a host whose row did not tell the era of its revision, from a
   * heartbeat, whose incarnation the host itself knows.
   */
  private @Nullable Peer adoptEra(@Nullable Peer known, HeartbeatState received) {
    if (known == null
        || known.registration.incarnation() == received.incarnation()
        || known.registration.incarnation() != StoreRevision.revisionOf(received.incarnation())) {
      return known;
    }
    HostRegistration row = known.registration;
    var complete =
        new HostRegistration(
            row.name(),
            row.dataCentre(),
            row.callerAddress(),
            row.linkAddress(),
            row.milliCores(),
            received.incarnation());
    var initial =
        new HeartbeatState(
            received.hostHash(), received.incarnation(), 0, false, StoreContact.UNKNOWN, false);
    var adopted = new Peer(complete, initial, known.startRecordedMs);
    peers.put(received.hostHash(), adopted);
    return adopted;
  }

  /**
   * Considers other hosts dead sooner unless they are heard of again, because this host was
   * stopped, and heartbeats that waited meanwhile look new.
   *
   * @param remainingMs time from now without an increase of its counter after which a host is
   *     considered dead, in milliseconds
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void expireUnlessHeardOf(long remainingMs, long nowMs) {
    long latestIncreaseMs = nowMs - deadAfterMs + remainingMs;
    for (Peer p : peers.values()) {
      p.lastIncreaseMs = Math.min(p.lastIncreaseMs, latestIncreaseMs);
      p.sentAtMs = Math.min(p.sentAtMs, latestIncreaseMs);
    }
  }

  /** Marks this host as leaving, which the following rounds announce to the other hosts. */
  public void markLeaving() {
    ownState =
        new HeartbeatState(
            selfHash,
            ownState.incarnation(),
            ownState.counter(),
            true,
            ownState.storeContact(),
            ownState.knowsUpstreams());
  }

  /**
   * Returns the usable hosts.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return registered hosts that are alive and not leaving, including this one unless it is
   *     leaving
   */
  public List<HostRegistration> usableHosts(long nowMs) {
    List<HostRegistration> result = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (!isLeaving(p) && (p.heartbeat.hostHash() == selfHash || isAlive(p, nowMs))) {
        result.add(p.registration);
      }
    }
    return result;
  }

  /**
   * Counts the hosts that may still be running although this host does not hear of them.
   *
   * @param withinMs length of the period before now, in milliseconds
   * @param nowMs the current time on the same clock, in milliseconds
   * @return number of hosts, this one among them, that were alive in the period or whose start was
   *     recorded in it; hosts that are leaving do not count
   */
  public int countUsableWithin(long withinMs, long nowMs) {
    return (int)
        peers.values().stream()
            .filter(p -> !isLeaving(p))
            .filter(
                p ->
                    p.heartbeat.hostHash() == selfHash
                        || isAlive(p, nowMs - withinMs)
                        || nowMs - p.startRecordedMs < withinMs)
            .count();
  }

  /**
   * Returns for how long the host has been running that started before all others. A host's
   * heartbeats are counted from its start, so this takes no common clock.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the time in milliseconds, without that since the last heartbeat, of this host or one
   *     that is alive
   */
  public long longestRunningMs(long nowMs) {
    return HEARTBEAT_INTERVAL_MS
        * peers.values().stream()
            .filter(p -> p.heartbeat.hostHash() != selfHash && isAlive(p, nowMs))
            .mapToLong(p -> p.heartbeat.counter())
            .reduce(ownState.counter(), Math::max);
  }

  /**
   * Returns the hosts that can schedule: those that may reach the store. During an outage of the
   * store these are the hosts that have read the upstreams since their start, because the others
   * cannot learn about any upstream.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the eligible hosts; all usable hosts if none fulfils the condition
   */
  public List<HostRegistration> eligibleSchedulers(long nowMs) {
    Predicate<HeartbeatState> condition =
        isStoreOutage(nowMs)
            ? HeartbeatState::knowsUpstreams
            : state -> state.storeContact() != StoreContact.FAILING;
    List<HostRegistration> usable = usableHosts(nowMs);
    List<HostRegistration> eligible =
        usable.stream().filter(host -> condition.test(stateOf(host))).toList();
    return eligible.isEmpty() ? usable : eligible;
  }

  private boolean isLeaving(Peer p) {
    return p.heartbeat.hostHash() == selfHash ? ownState.leaving() : p.heartbeat.leaving();
  }

  private HeartbeatState stateOf(HostRegistration host) {
    int nameHash = hash(host.name());
    Peer p = peers.get(nameHash);
    return p == null || nameHash == selfHash ? ownState : p.heartbeat;
  }

  /**
   * Checks whether a host has lately read the store.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return true if this host or another usable host has
   */
  public boolean isStoreConfirmed(long nowMs) {
    return countUsable(StoreContact.CONFIRMED, nowMs) > 0;
  }

  /**
   * Checks whether the store seems to be unavailable to all hosts.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return true if calls of several hosts, or of all, fail and no host has lately read the store
   */
  public boolean isStoreOutage(long nowMs) {
    int failing = countUsable(StoreContact.FAILING, nowMs);
    int needed = Math.min(MIN_FAILING_HOSTS, usableHosts(nowMs).size());
    return failing > 0 && failing >= needed && !isStoreConfirmed(nowMs);
  }

  /**
   * Checks whether the store seems to be unavailable to all hosts, or was until a moment ago.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return true during an outage, and for a time after one that was not just a short failure
   */
  public boolean wasStoreOutage(long nowMs) {
    return isStoreOutage(nowMs) || nowMs - lastOutageAtMs < OUTAGE_MEMORY_MS;
  }

  private void recordOutage(long nowMs) {
    if (!isStoreOutage(nowMs)) {
      outageSinceMs = NEVER;
      return;
    }
    if (outageSinceMs == NEVER) {
      outageSinceMs = nowMs;
    }
    if (nowMs - outageSinceMs >= MIN_OUTAGE_MS) {
      lastOutageAtMs = nowMs;
    }
  }

  private int countUsable(StoreContact contact, long nowMs) {
    return (int)
        usableHosts(nowMs).stream().filter(host -> stateOf(host).storeContact() == contact).count();
  }

  /**
   * Returns the other usable hosts that may reach the store.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return registrations of those whose calls to the store do not fail
   */
  public List<HostRegistration> reachingStore(long nowMs) {
    return usableHosts(nowMs).stream()
        .filter(host -> hash(host.name()) != selfHash)
        .filter(host -> stateOf(host).storeContact() != StoreContact.FAILING)
        .toList();
  }

  /**
   * Returns the age of the youngest heartbeat of any of several hosts.
   *
   * @param hosts registered hosts other than this one
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the age in milliseconds; empty if no heartbeat of them is known
   */
  public OptionalLong youngestHeartbeatAgeMs(Collection<HostRegistration> hosts, long nowMs) {
    return hosts.stream()
        .map(host -> peers.get(hash(host.name())))
        .filter(p -> p != null && p.sentAtMs != NEVER)
        .mapToLong(p -> nowMs - p.sentAtMs)
        .min();
  }

  /**
   * Returns the age of the youngest heartbeat of a host that has lately read the store.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the age in milliseconds; empty if no other host's last heartbeat says so
   */
  public OptionalLong confirmedHeartbeatAgeMs(long nowMs) {
    return peers.values().stream()
        .filter(p -> p.heartbeat.hostHash() != selfHash && p.sentAtMs != NEVER)
        .filter(p -> p.heartbeat.storeContact() == StoreContact.CONFIRMED)
        .mapToLong(p -> nowMs - p.sentAtMs)
        .min();
  }

  /**
   * Returns the number of registered hosts, dead or alive.
   *
   * @return the number, at least 1
   */
  public int size() {
    return Math.max(1, peers.size());
  }

  /**
   * Finds a registered host.
   *
   * @param hostHash hash of the host's name
   * @return its registration, or empty if it is not registered
   */
  public Optional<HostRegistration> find(int hostHash) {
    return Optional.ofNullable(peers.get(hostHash)).map(p -> p.registration);
  }

  private boolean isAlive(Peer p, long nowMs) {
    return nowMs - p.lastIncreaseMs < deadAfterMs;
  }

  private static final class Peer {
    private final HostRegistration registration;
    private final long startRecordedMs;
    private HeartbeatState heartbeat;
    private long lastIncreaseMs = NEVER;
    private long sentAtMs = NEVER;

    Peer(HostRegistration registration, HeartbeatState heartbeat, long nowMs) {
      this.registration = registration;
      this.heartbeat = heartbeat;
      this.startRecordedMs = nowMs;
    }
  }
}
