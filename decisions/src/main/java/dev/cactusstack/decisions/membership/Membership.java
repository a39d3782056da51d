package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * One host's view of the members, as a state machine driven by messages and ticks.
 *
 * <p>Invariants: the host itself is always an alive member of its own view; a claim is replaced
 * only by one that {@link Member#merge} prefers; each tick sends at most one probe of a member, so
 * the cost does not grow with the number of members. Confined to one thread.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int REJOINS_PER_PERIOD = 4;
  private static final double ROUND_TRIP_SMOOTHING = 0.2;

  private final ProbeTimings timings;
  private final Random random;
  private final HostId self;
  private final SortedMap<HostId, Member> members = new TreeMap<>();
  private final Map<HostId, Long> since = new HashMap<>();
  private final Map<HostId, Double> roundTrips = new HashMap<>();
  private final Map<Address, Long> listed = new TreeMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final UpdateQueue queue = new UpdateQueue();
  private final List<HostId> order = new ArrayList<>();
  private @Nullable Pending pending;
  private long nextNumber;
  private long nextProbeMs;

  /** A probe of this host that waits for its answer. */
  private record Pending(HostId target, long number, long sentMs, boolean asked) {}

  /** A probe on behalf of another host. */
  private record Relay(Address asker, long askerNumber, long sentMs) {}

  /**
   * Creates the view of a host that knows only itself.
   *
   * @param self the host's claim about itself
   * @param timings the periods
   * @param random draws the order of probes
   */
  public Membership(Member self, ProbeTimings timings, Random random) {
    Objects.requireNonNull(self, "self is null");
    this.timings = Objects.requireNonNull(timings, "timings is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.self = self.id();
    members.put(self.id(), self);
  }

  /**
   * Returns all members that are known, dead ones included.
   *
   * @return a snapshot by identity
   */
  public SortedMap<HostId, Member> members() {
    return Collections.unmodifiableSortedMap(new TreeMap<>(members));
  }

  /**
   * Returns the host's claim about itself.
   *
   * @return the claim
   */
  public Member self() {
    return Objects.requireNonNull(members.get(self));
  }

  /**
   * Replaces what the host says of itself.
   *
   * @param info the next statement
   */
  public void updateSelf(MemberInfo info) {
    Member next = self().with(info);
    if (isUrgent(self(), next)) {
      queue.add(self);
    }
    members.put(self, next);
  }

  /** Arrival rates change all the time; they only travel with a member's own messages. */
  private static boolean isUrgent(@Nullable Member known, Member next) {
    return known == null
        || known.incarnation() != next.incarnation()
        || known.status() != next.status()
        || known.info().configVersion() != next.info().configVersion()
        || known.info().leaving() != next.info().leaving();
  }

  /**
   * Takes over the link addresses of the platform's host list. The list only says whom to try; it
   * removes nobody.
   *
   * @param links the listed link addresses
   */
  public void updateHostList(Collection<Address> links) {
    listed.keySet().retainAll(links);
    links.stream()
        .filter(a -> !a.equals(self().info().link()))
        .forEach(a -> listed.putIfAbsent(a, 0L));
  }

  /**
   * Moves time forward.
   *
   * @param nowMs the present time, in milliseconds on a steady clock
   * @return messages to send
   */
  public List<OutgoingMessage> tick(long nowMs) {
    var out = new ArrayList<OutgoingMessage>();
    askOthers(nowMs, out);
    if (nowMs >= nextProbeMs) {
      // A probe that could not be judged in time, as after a pause of this host, is not counted.
      boolean late = nextProbeMs > 0 && nowMs - nextProbeMs > timings.probeIntervalMs();
      judgeProbe(nowMs, late);
      expire(nowMs, late);
      probeNext(nowMs, out);
      rejoin(nowMs, out);
      nextProbeMs = nowMs + timings.probeIntervalMs();
    }
    return out;
  }

  private void askOthers(long nowMs, List<OutgoingMessage> out) {
    Pending p = pending;
    if (p == null || p.asked || nowMs - p.sentMs < timings.directTimeoutMs()) {
      return;
    }
    pending = new Pending(p.target, p.number, p.sentMs, true);
    Member target = members.get(p.target);
    if (target == null) {
      return;
    }
    List<Member> helpers = new ArrayList<>(others());
    helpers.removeIf(m -> m.id().equals(p.target) || m.status() != MemberStatus.ALIVE);
    Collections.shuffle(helpers, random);
    helpers.stream()
        .limit(INDIRECT_PROBES)
        .map(
            m ->
                send(m.info().link(), new ProbeMessage.PingRequest(p.number, target.info().link())))
        .forEach(out::add);
  }

  private void judgeProbe(long nowMs, boolean late) {
    Pending p = pending;
    pending = null;
    Member m = p == null ? null : members.get(p.target);
    if (m != null && m.status() == MemberStatus.ALIVE && !late) {
      replace(m.with(MemberStatus.SUSPECT), nowMs);
    }
  }

  private void expire(long nowMs, boolean late) {
    for (Member m : others()) {
      long age = nowMs - since.getOrDefault(m.id(), nowMs);
      if (m.status() == MemberStatus.SUSPECT && late) {
        since.put(m.id(), nowMs);
      } else if (m.status() == MemberStatus.SUSPECT && age >= timings.suspicionTimeoutMs()) {
        replace(m.with(MemberStatus.DEAD), nowMs);
      } else if (m.status() == MemberStatus.DEAD && age >= timings.deadRetentionMs()) {
        members.remove(m.id());
        since.remove(m.id());
        roundTrips.remove(m.id());
        queue.remove(m.id());
      }
    }
    relays.values().removeIf(r -> nowMs - r.sentMs > timings.probeIntervalMs());
  }

  private void probeNext(long nowMs, List<OutgoingMessage> out) {
    order.removeIf(id -> !isProbed(id));
    if (order.isEmpty()) {
      others().stream().map(Member::id).filter(this::isProbed).forEach(order::add);
      Collections.shuffle(order, random);
    }
    if (order.isEmpty()) {
      return;
    }
    Member target = Objects.requireNonNull(members.get(order.remove(order.size() - 1)));
    pending = new Pending(target.id(), ++nextNumber, nowMs, false);
    out.add(send(target.info().link(), new ProbeMessage.Ping(nextNumber)));
  }

  private boolean isProbed(HostId id) {
    Member m = members.get(id);
    return m != null && m.status() != MemberStatus.DEAD;
  }

  private void rejoin(long nowMs, List<OutgoingMessage> out) {
    var live =
        others().stream()
            .filter(m -> m.status() != MemberStatus.DEAD)
            .map(m -> m.info().link())
            .toList();
    listed.entrySet().stream()
        .filter(e -> !live.contains(e.getKey()))
        .filter(e -> e.getValue() == 0 || nowMs - e.getValue() >= timings.rejoinIntervalMs())
        .limit(REJOINS_PER_PERIOD)
        .toList()
        .forEach(
            e -> {
              listed.put(e.getKey(), nowMs);
              out.add(send(e.getKey(), new ProbeMessage.Ping(++nextNumber)));
            });
  }

  /**
   * Handles a message.
   *
   * @param from the address it came from
   * @param probe the message
   * @param sender the sender's claim about itself
   * @param updates the claims it carries
   * @param nowMs the present time on the clock of {@link #tick}
   * @return messages to send
   */
  public List<OutgoingMessage> receive(
      Address from, ProbeMessage probe, Member sender, List<Member> updates, long nowMs) {
    learn(sender, nowMs);
    updates.forEach(m -> learn(m, nowMs));
    tellIfDoubted(sender.id());
    if (probe instanceof ProbeMessage.Ping p) {
      return List.of(send(from, new ProbeMessage.Ack(p.number())));
    }
    if (probe instanceof ProbeMessage.PingRequest r) {
      relays.put(++nextNumber, new Relay(from, r.number(), nowMs));
      return List.of(send(r.target(), new ProbeMessage.Ping(nextNumber)));
    }
    return acknowledged(((ProbeMessage.Ack) probe).number(), sender.id(), nowMs);
  }

  /** Lets a member that still sends, as after a pause, learn that it has to refute. */
  private void tellIfDoubted(HostId id) {
    Member known = members.get(id);
    if (known != null && known.status() != MemberStatus.ALIVE) {
      queue.add(id);
    }
  }

  private List<OutgoingMessage> acknowledged(long number, HostId from, long nowMs) {
    Pending p = pending;
    if (p != null && p.number == number) {
      pending = null;
      if (!p.asked) {
        noteRoundTrip(from, nowMs - p.sentMs);
      }
    }
    Relay r = relays.remove(number);
    return r == null ? List.of() : List.of(send(r.asker, new ProbeMessage.Ack(r.askerNumber)));
  }

  private void noteRoundTrip(HostId id, long ms) {
    Double before = roundTrips.get(id);
    roundTrips.put(id, before == null ? ms : before + ROUND_TRIP_SMOOTHING * (ms - before));
  }

  /**
   * Returns the smoothed round trip to a member.
   *
   * @param id the member
   * @return milliseconds, 0 before the first answer
   */
  public double roundTripMs(HostId id) {
    return roundTrips.getOrDefault(id, 0.0);
  }

  private void learn(Member claim, long nowMs) {
    if (claim.id().equals(self)) {
      refute(claim);
      return;
    }
    Member known = members.get(claim.id());
    if (known == null && claim.status() == MemberStatus.DEAD) {
      return;
    }
    replace(known == null ? claim : known.merge(claim), nowMs);
  }

  private void refute(Member claim) {
    Member me = self();
    boolean accused = claim.status() != MemberStatus.ALIVE;
    if (claim.incarnation() > me.incarnation()
        || accused && claim.incarnation() == me.incarnation()) {
      members.put(self, new Member(self, claim.incarnation() + 1, MemberStatus.ALIVE, me.info()));
      queue.add(self);
    }
  }

  private void replace(Member next, long nowMs) {
    Member known = members.put(next.id(), next);
    if (next.equals(known)) {
      return;
    }
    if (isUrgent(known, next)) {
      queue.add(next.id());
    }
    if (known == null || known.status() != next.status()) {
      since.put(next.id(), nowMs);
    }
  }

  private List<Member> others() {
    return members.values().stream().filter(m -> !m.id().equals(self)).toList();
  }

  private OutgoingMessage send(Address to, ProbeMessage probe) {
    return new OutgoingMessage(to, probe, self(), queue.take(members));
  }
}
