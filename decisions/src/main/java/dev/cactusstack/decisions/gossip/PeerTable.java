package dev.cactusstack.decisions.gossip;

import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Which hosts are alive, by gossip of heartbeat counters (van Renesse, Minsky and Hayden, 1998): a
 * host raises its own counter, passes all counters it knows to a few random hosts each round, and
 * takes a host for dead whose counter has not risen for a while.
 *
 * <p>A host learns the others from the store when it starts and from their gossip later. Messages
 * per host and round are constant. Confined to one thread.
 */
public final class PeerTable {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long deadAfterMs;
  private final RandomGenerator random;
  private final Map<Integer, Peer> peers = new HashMap<>();
  private final int self;
  private HeartbeatState own;

  /**
   * Creates a table that knows this host only.
   *
   * @param selfName this host's name
   * @param deadAfterMs silence after which a host is taken for dead, in milliseconds
   * @param random chooses whom to tell
   */
  public PeerTable(String selfName, long deadAfterMs, RandomGenerator random) {
    this.self = hash(selfName);
    this.deadAfterMs = deadAfterMs;
    this.random = random;
    this.own = new HeartbeatState(self, 0, 0, false, true, false);
  }

  /**
   * Hashes a host's name.
   *
   * @param name the name
   * @return what stands for it in messages
   */
  public static int hash(String name) {
    return name.hashCode();
  }

  /**
   * Takes over what is known of a host's start. A host other than this one counts as alive only
   * once its counter has been heard to rise.
   *
   * @param e the host's entry
   * @param nowMs the present time on a steady clock, in milliseconds
   * @return true when this start was not known
   */
  public boolean recordStart(HostRegistration e, long nowMs) {
    int id = hash(e.name());
    Peer p = peers.get(id);
    if (p != null && p.entry.incarnation() >= e.incarnation()) {
      return false;
    }
    peers.put(id, new Peer(e, new HeartbeatState(id, e.incarnation(), 0, false, false, false), nowMs));
    if (id == self) {
      own =
          new HeartbeatState(
              self, e.incarnation(), own.counter(), own.leaving(), own.reachesStore(), own.knowsUpstreams());
    }
    return true;
  }

  /**
   * Lists hosts whose start is news.
   *
   * @param newerThanMs how long ago at most the start was learned, in milliseconds
   * @param count how many at most
   * @param nowMs the present time on the same clock
   * @return their entries, this host's own first
   */
  public List<HostRegistration> recentlyStarted(long newerThanMs, int count, long nowMs) {
    List<HostRegistration> out = new ArrayList<>();
    Peer me = peers.get(self);
    if (me != null) {
      out.add(me.entry);
    }
    for (Peer p : peers.values()) {
      if (out.size() < count && p != me && nowMs - p.learnedMs < newerThanMs) {
        out.add(p.entry);
      }
    }
    return out;
  }

  /**
   * Starts a round.
   *
   * @param informed whether this host reaches the store
   * @param knowing whether this host has read the upstreams
   * @param nowMs the present time on the same clock
   * @return the counters to tell
   */
  public List<HeartbeatState> startRound(boolean informed, boolean knowing, long nowMs) {
    own = new HeartbeatState(self, own.incarnation(), own.counter() + 1, own.leaving(), informed, knowing);
    List<HeartbeatState> out = new ArrayList<>();
    out.add(own);
    for (Peer p : peers.values()) {
      if (p.pulse.hostHash() != self && alive(p, nowMs)) {
        out.add(p.pulse);
      }
    }
    return out;
  }

  /**
   * Chooses whom to tell: one host anywhere, the others in this host's data centre where there are
   * enough, because the way there is shorter and costs less.
   *
   * @param count how many hosts
   * @param nowMs the present time on the same clock
   * @return registered hosts other than this one, without repetition
   */
  public List<HostRegistration> gossipTargets(int count, long nowMs) {
    List<HostRegistration> others = new ArrayList<>();
    peers.values().stream().filter(p -> p.pulse.hostHash() != self).forEach(p -> others.add(p.entry));
    List<HostRegistration> near = others.stream().filter(this::near).toList();
    List<HostRegistration> out = chosen(near, count - 1);
    others.removeAll(out);
    out.addAll(chosen(others, count - out.size()));
    return out;
  }

  /**
   * Chooses hosts of this host's data centre.
   *
   * @param count how many at most
   * @param nowMs the present time on the same clock
   * @return usable hosts other than this one, without repetition
   */
  public List<HostRegistration> localTargets(int count, long nowMs) {
    List<HostRegistration> near =
        usableHosts(nowMs).stream().filter(e -> near(e) && hash(e.name()) != self).toList();
    return chosen(near, count);
  }

  private boolean near(HostRegistration e) {
    Peer me = peers.get(self);
    return me != null && me.entry.dataCentre().equals(e.dataCentre());
  }

  private List<HostRegistration> chosen(List<HostRegistration> from, int count) {
    List<HostRegistration> others = new ArrayList<>(from);
    for (int i = 0; i < Math.min(count, others.size()); i++) {
      int j = i + random.nextInt(others.size() - i);
      HostRegistration e = others.get(j);
      others.set(j, others.get(i));
      others.set(i, e);
    }
    return new ArrayList<>(others.subList(0, Math.min(Math.max(0, count), others.size())));
  }

  /**
   * Takes in counters that another host told.
   *
   * @param pulses the counters
   * @param nowMs the present time on the same clock
   */
  public void mergeHeartbeats(List<HeartbeatState> pulses, long nowMs) {
    for (HeartbeatState p : pulses) {
      Peer known = peers.get(p.hostHash());
      if (known == null || p.incarnation() != known.entry.incarnation()) {
        continue;
      }
      if (p.isNewerThan(known.pulse)) {
        known.pulse = p;
        known.risenMs = nowMs;
      }
    }
  }

  /** Begins to tell that this host is leaving. */
  public void markLeaving() {
    own = new HeartbeatState(self, own.incarnation(), own.counter(), true, own.reachesStore(), own.knowsUpstreams());
  }

  /**
   * Lists the hosts that can be used.
   *
   * @param nowMs the present time on the same clock
   * @return registered hosts that are alive and not leaving, this one among them unless it leaves
   */
  public List<HostRegistration> usableHosts(long nowMs) {
    List<HostRegistration> out = new ArrayList<>();
    for (Peer p : peers.values()) {
      boolean leaving = p.pulse.hostHash() == self ? own.leaving() : p.pulse.leaving();
      if (!leaving && (p.pulse.hostHash() == self || alive(p, nowMs))) {
        out.add(p.entry);
      }
    }
    return out;
  }

  /**
   * Lists the hosts that can schedule. While no host reaches the store these are the ones that have
   * read the upstreams before, because the others can't learn of any.
   *
   * @param nowMs the present time on the same clock
   * @return hosts that can be used
   */
  public List<HostRegistration> eligibleSchedulers(long nowMs) {
    List<HostRegistration> usable = usableHosts(nowMs);
    if (own.reachesStore() || anotherHostReachesStore(nowMs)) {
      return usable;
    }
    List<HostRegistration> knowing = usable.stream().filter(this::knowing).toList();
    return knowing.isEmpty() ? usable : knowing;
  }

  private boolean knowing(HostRegistration e) {
    int id = hash(e.name());
    Peer p = peers.get(id);
    return id == self ? own.knowsUpstreams() : p != null && p.pulse.knowsUpstreams();
  }

  /**
   * Tells whether another host reaches the store.
   *
   * @param nowMs the present time on the same clock
   * @return true when a usable host other than this one has said so
   */
  public boolean anotherHostReachesStore(long nowMs) {
    return peers.values().stream().anyMatch(p -> reachingStore(p, nowMs));
  }

  /**
   * Lists the other hosts that can be used and have said that they reach the store.
   *
   * @param nowMs the present time on the same clock
   * @return their entries
   */
  public List<HostRegistration> reachingStore(long nowMs) {
    return peers.values().stream().filter(p -> reachingStore(p, nowMs)).map(p -> p.entry).toList();
  }

  private boolean reachingStore(Peer p, long nowMs) {
    return p.pulse.hostHash() != self && p.pulse.reachesStore() && !p.pulse.leaving() && alive(p, nowMs);
  }

  /**
   * Counts the registered hosts, dead or alive.
   *
   * @return at least 1
   */
  public int size() {
    return Math.max(1, peers.size());
  }

  /**
   * Finds a host.
   *
   * @param host hash of its name
   * @return its entry
   */
  public Optional<HostRegistration> find(int host) {
    return Optional.ofNullable(peers.get(host)).map(p -> p.entry);
  }

  private boolean alive(Peer p, long nowMs) {
    return nowMs - p.risenMs < deadAfterMs;
  }

  private static final class Peer {
    private final HostRegistration entry;
    private final long learnedMs;
    private HeartbeatState pulse;
    private long risenMs = NEVER;

    Peer(HostRegistration entry, HeartbeatState pulse, long nowMs) {
      this.entry = entry;
      this.pulse = pulse;
      this.learnedMs = nowMs;
    }
  }
}
