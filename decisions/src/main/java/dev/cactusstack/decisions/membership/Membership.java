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
 * One host's view of the group, as a state machine driven by messages and ticks.
 *
 * <p>Invariants: the host itself is always an alive member of its own view; a claim is replaced
 * only by one that {@link Member#merge} prefers; each tick probes at most one member, so the cost
 * does not grow with the number of members. Confined to one thread.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_REJOINS_PER_INTERVAL = 4;
  private static final double ROUND_TRIP_SMOOTHING = 0.2;

  private final ProbeTimings timings;
  private final Random random;
  private final HostId self;
  private final SortedMap<HostId, Member> members = new TreeMap<>();
  private final Map<HostId, Long> statusChangedAtMs = new HashMap<>();
  private final Map<HostId, Double> roundTripsMs = new HashMap<>();
  private final Map<Address, Long> rejoinAttemptsMs = new TreeMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private final UpdateQueue updateQueue = new UpdateQueue();
  private final List<HostId> probeOrder = new ArrayList<>();
  private @Nullable PendingProbe pendingProbe;
  private long lastNumber;
  private long nextProbeMs;

  /** A probe by this host that has not been acknowledged yet. */
  private record PendingProbe(HostId target, long number, long sentAtMs, boolean indirectSent) {}

  /** A probe on behalf of another host. */
  private record RelayedProbe(Address requester, long requesterNumber, long sentAtMs) {}

  /**
   * Creates the view of a host that knows only itself.
   *
   * @param self the host's claim about itself
   * @param timings the timings of failure detection
   * @param random shuffles the probe order and selects helpers
   */
  public Membership(Member self, ProbeTimings timings, Random random) {
    Objects.requireNonNull(self, "self is null");
    this.timings = Objects.requireNonNull(timings, "timings is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.self = self.id();
    members.put(self.id(), self);
  }

  /**
   * Returns all known members, including dead ones.
   *
   * @return a snapshot, by host id
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
   * Replaces the information that the host announces about itself.
   *
   * @param info the next announcement
   */
  public void updateSelf(MemberInfo info) {
    Member next = self().with(info);
    if (needsDissemination(self(), next)) {
      updateQueue.add(self);
    }
    members.put(self, next);
  }

  /**
   * Checks whether a change has to be disseminated. Arrival rates change constantly and are sent
   * only with a member's own messages.
   */
  private static boolean needsDissemination(@Nullable Member known, Member next) {
    return known == null
        || known.incarnation() != next.incarnation()
        || known.status() != next.status()
        || known.info().configVersion() != next.info().configVersion()
        || known.info().leaving() != next.info().leaving();
  }

  /**
   * Replaces the link addresses from the platform's host list. The list only determines which hosts
   * to contact; it does not remove members.
   *
   * @param links the listed link addresses
   */
  public void updateHostList(Collection<Address> links) {
    rejoinAttemptsMs.keySet().retainAll(links);
    links.stream()
        .filter(address -> !address.equals(self().info().link()))
        .forEach(address -> rejoinAttemptsMs.putIfAbsent(address, 0L));
  }

  /**
   * Advances time: sends probes and expires members.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the messages to send
   */
  public List<OutgoingMessage> tick(long nowMs) {
    var messages = new ArrayList<OutgoingMessage>();
    sendIndirectProbes(nowMs, messages);
    if (nowMs >= nextProbeMs) {
      // A probe that this host evaluates too late, for example after a pause, does not count.
      boolean delayed = nextProbeMs > 0 && nowMs - nextProbeMs > timings.probeIntervalMs();
      evaluateProbe(nowMs, delayed);
      expireMembers(nowMs, delayed);
      probeNext(nowMs, messages);
      contactListedHosts(nowMs, messages);
      nextProbeMs = nowMs + timings.probeIntervalMs();
    }
    return messages;
  }

  private void sendIndirectProbes(long nowMs, List<OutgoingMessage> messages) {
    PendingProbe pending = pendingProbe;
    if (pending == null
        || pending.indirectSent
        || nowMs - pending.sentAtMs < timings.directTimeoutMs()) {
      return;
    }
    pendingProbe = new PendingProbe(pending.target, pending.number, pending.sentAtMs, true);
    Member target = members.get(pending.target);
    if (target == null) {
      return;
    }
    List<Member> helpers = new ArrayList<>(otherMembers());
    helpers.removeIf(
        helper -> helper.id().equals(pending.target) || helper.status() != MemberStatus.ALIVE);
    Collections.shuffle(helpers, random);
    helpers.stream()
        .limit(INDIRECT_PROBES)
        .map(
            helper ->
                createMessage(
                    helper.info().link(),
                    new ProbeMessage.PingRequest(pending.number, target.info().link())))
        .forEach(messages::add);
  }

  private void evaluateProbe(long nowMs, boolean delayed) {
    PendingProbe pending = pendingProbe;
    pendingProbe = null;
    Member probed = pending == null ? null : members.get(pending.target);
    if (probed != null && probed.status() == MemberStatus.ALIVE && !delayed) {
      updateMember(probed.with(MemberStatus.SUSPECT), nowMs);
    }
  }

  private void expireMembers(long nowMs, boolean delayed) {
    for (Member member : otherMembers()) {
      long ageMs = nowMs - statusChangedAtMs.getOrDefault(member.id(), nowMs);
      if (member.status() == MemberStatus.SUSPECT && delayed) {
        statusChangedAtMs.put(member.id(), nowMs);
      } else if (member.status() == MemberStatus.SUSPECT && ageMs >= timings.suspicionTimeoutMs()) {
        updateMember(member.with(MemberStatus.DEAD), nowMs);
      } else if (member.status() == MemberStatus.DEAD && ageMs >= timings.deadRetentionMs()) {
        members.remove(member.id());
        statusChangedAtMs.remove(member.id());
        roundTripsMs.remove(member.id());
        updateQueue.remove(member.id());
      }
    }
    relayedProbes.values().removeIf(relay -> nowMs - relay.sentAtMs > timings.probeIntervalMs());
  }

  private void probeNext(long nowMs, List<OutgoingMessage> messages) {
    probeOrder.removeIf(id -> !shouldProbe(id));
    if (probeOrder.isEmpty()) {
      otherMembers().stream().map(Member::id).filter(this::shouldProbe).forEach(probeOrder::add);
      Collections.shuffle(probeOrder, random);
    }
    if (probeOrder.isEmpty()) {
      return;
    }
    Member target = Objects.requireNonNull(members.get(probeOrder.remove(probeOrder.size() - 1)));
    pendingProbe = new PendingProbe(target.id(), ++lastNumber, nowMs, false);
    messages.add(createMessage(target.info().link(), new ProbeMessage.Ping(lastNumber)));
  }

  private boolean shouldProbe(HostId id) {
    Member member = members.get(id);
    return member != null && member.status() != MemberStatus.DEAD;
  }

  private void contactListedHosts(long nowMs, List<OutgoingMessage> messages) {
    var liveLinks =
        otherMembers().stream()
            .filter(member -> member.status() != MemberStatus.DEAD)
            .map(member -> member.info().link())
            .toList();
    rejoinAttemptsMs.entrySet().stream()
        .filter(attempt -> !liveLinks.contains(attempt.getKey()))
        .filter(
            attempt ->
                attempt.getValue() == 0 || nowMs - attempt.getValue() >= timings.rejoinIntervalMs())
        .limit(MAX_REJOINS_PER_INTERVAL)
        .toList()
        .forEach(
            attempt -> {
              rejoinAttemptsMs.put(attempt.getKey(), nowMs);
              messages.add(createMessage(attempt.getKey(), new ProbeMessage.Ping(++lastNumber)));
            });
  }

  /**
   * Handles a message.
   *
   * @param from the address that the message came from
   * @param probe the message
   * @param sender the sender's claim about itself
   * @param updates the claims that the message carries
   * @param nowMs the current time on the clock of {@link #tick}
   * @return the messages to send
   */
  public List<OutgoingMessage> receive(
      Address from, ProbeMessage probe, Member sender, List<Member> updates, long nowMs) {
    applyClaim(sender, nowMs);
    updates.forEach(update -> applyClaim(update, nowMs));
    disseminateIfNotAlive(sender.id());
    if (probe instanceof ProbeMessage.Ping ping) {
      return List.of(createMessage(from, new ProbeMessage.Ack(ping.number())));
    }
    if (probe instanceof ProbeMessage.PingRequest pingRequest) {
      relayedProbes.put(++lastNumber, new RelayedProbe(from, pingRequest.number(), nowMs));
      return List.of(createMessage(pingRequest.target(), new ProbeMessage.Ping(lastNumber)));
    }
    return handleAck(((ProbeMessage.Ack) probe).number(), sender.id(), nowMs);
  }

  /**
   * Disseminates the status of a sender that is not considered alive, for example after a pause, so
   * that it learns of the suspicion and can refute it.
   */
  private void disseminateIfNotAlive(HostId id) {
    Member known = members.get(id);
    if (known != null && known.status() != MemberStatus.ALIVE) {
      updateQueue.add(id);
    }
  }

  private List<OutgoingMessage> handleAck(long number, HostId from, long nowMs) {
    PendingProbe pending = pendingProbe;
    if (pending != null && pending.number == number) {
      pendingProbe = null;
      if (!pending.indirectSent) {
        recordRoundTrip(from, nowMs - pending.sentAtMs);
      }
    }
    RelayedProbe relay = relayedProbes.remove(number);
    return relay == null
        ? List.of()
        : List.of(createMessage(relay.requester, new ProbeMessage.Ack(relay.requesterNumber)));
  }

  private void recordRoundTrip(HostId id, long sampleMs) {
    Double previousMs = roundTripsMs.get(id);
    roundTripsMs.put(
        id,
        previousMs == null
            ? sampleMs
            : previousMs + ROUND_TRIP_SMOOTHING * (sampleMs - previousMs));
  }

  /**
   * Returns the smoothed round-trip time to a member.
   *
   * @param id the member
   * @return the round-trip time in milliseconds; 0 before the first acknowledgement
   */
  public double roundTripMs(HostId id) {
    return roundTripsMs.getOrDefault(id, 0.0);
  }

  private void applyClaim(Member claim, long nowMs) {
    if (claim.id().equals(self)) {
      refuteClaim(claim);
      return;
    }
    Member known = members.get(claim.id());
    if (known == null && claim.status() == MemberStatus.DEAD) {
      return;
    }
    updateMember(known == null ? claim : known.merge(claim), nowMs);
  }

  private void refuteClaim(Member claim) {
    Member own = self();
    boolean disputed = claim.status() != MemberStatus.ALIVE;
    if (claim.incarnation() > own.incarnation()
        || disputed && claim.incarnation() == own.incarnation()) {
      members.put(self, new Member(self, claim.incarnation() + 1, MemberStatus.ALIVE, own.info()));
      updateQueue.add(self);
    }
  }

  private void updateMember(Member next, long nowMs) {
    Member known = members.put(next.id(), next);
    if (next.equals(known)) {
      return;
    }
    if (needsDissemination(known, next)) {
      updateQueue.add(next.id());
    }
    if (known == null || known.status() != next.status()) {
      statusChangedAtMs.put(next.id(), nowMs);
    }
  }

  private List<Member> otherMembers() {
    return members.values().stream().filter(member -> !member.id().equals(self)).toList();
  }

  private OutgoingMessage createMessage(Address receiver, ProbeMessage probe) {
    return new OutgoingMessage(receiver, probe, self(), updateQueue.takeForMessage(members));
  }
}
