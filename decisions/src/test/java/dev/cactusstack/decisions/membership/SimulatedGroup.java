package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** A group of members on a simulated network that loses and delays messages, in virtual time. */
final class SimulatedGroup {
  static final long STEP_MS = 50;

  private final Random random;
  private final double lossProbability;
  private final long maxDelayMs;
  private final List<Membership> hosts = new ArrayList<>();
  private final Set<Integer> paused = new HashSet<>();
  private final PriorityQueue<InFlight> network =
      new PriorityQueue<>(
          Comparator.comparingLong(InFlight::atMs).thenComparingLong(InFlight::sequence));
  private long nowMs = 1;
  private long sequence;
  private long messagesSent;

  private record InFlight(long atMs, long sequence, int from, int to, OutgoingMessage message) {}

  SimulatedGroup(int size, double lossProbability, long maxDelayMs, long seed) {
    this.random = new Random(seed);
    this.lossProbability = lossProbability;
    this.maxDelayMs = maxDelayMs;
    var links = new ArrayList<Address>();
    for (int i = 0; i < size; i++) {
      links.add(link(i));
    }
    for (int i = 0; i < size; i++) {
      var m = new Membership(member(i, 1), ProbeTimings.DEFAULT, new Random(random.nextLong()));
      m.updateHostList(links);
      hosts.add(m);
    }
  }

  static Address link(int i) {
    return new Address("10.0.0." + (i + 1), 7946);
  }

  static HostId id(int i) {
    return new HostId("host-" + i);
  }

  static Member member(int i, long incarnation) {
    var info =
        new MemberInfo(1, new DataCentre("a"), link(i), link(i), link(i), 0, false, List.of());
    return new Member(id(i), incarnation, MemberStatus.ALIVE, info);
  }

  Membership host(int i) {
    return hosts.get(i);
  }

  void pause(int i) {
    paused.add(i);
  }

  void resume(int i) {
    paused.remove(i);
  }

  void restart(int i, long incarnation) {
    paused.remove(i);
    var m =
        new Membership(member(i, incarnation), ProbeTimings.DEFAULT, new Random(random.nextLong()));
    var links = new ArrayList<Address>();
    for (int k = 0; k < hosts.size(); k++) {
      links.add(link(k));
    }
    m.updateHostList(links);
    hosts.set(i, m);
  }

  /** Returns the number of messages sent by all hosts since the start. */
  long sentMessages() {
    return messagesSent;
  }

  void run(long ms) {
    long end = nowMs + ms;
    while (nowMs < end) {
      nowMs += STEP_MS;
      while (!network.isEmpty() && network.peek().atMs <= nowMs) {
        deliver(network.remove());
      }
      for (int i = 0; i < hosts.size(); i++) {
        if (!paused.contains(i)) {
          send(i, hosts.get(i).tick(nowMs));
        }
      }
    }
  }

  private void deliver(InFlight m) {
    if (paused.contains(m.to)) {
      return;
    }
    OutgoingMessage o = m.message;
    send(m.to, hosts.get(m.to).receive(link(m.from), o.probe(), o.sender(), o.updates(), m.atMs));
  }

  private void send(int from, List<OutgoingMessage> messages) {
    for (OutgoingMessage o : messages) {
      messagesSent++;
      int to = Integer.parseInt(o.receiver().ip().substring("10.0.0.".length())) - 1;
      if (random.nextDouble() >= lossProbability) {
        long delay = 1 + (long) (random.nextDouble() * maxDelayMs);
        network.add(new InFlight(nowMs + delay, sequence++, from, to, o));
      }
    }
  }

  MemberStatus statusSeen(int by, int of) {
    Member m = hosts.get(by).members().get(id(of));
    return m == null ? MemberStatus.DEAD : m.status();
  }

  boolean allAlive() {
    for (int by = 0; by < hosts.size(); by++) {
      for (int of = 0; of < hosts.size(); of++) {
        if (statusSeen(by, of) != MemberStatus.ALIVE) {
          return false;
        }
      }
    }
    return true;
  }
}
