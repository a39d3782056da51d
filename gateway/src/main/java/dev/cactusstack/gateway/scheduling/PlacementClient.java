package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.routing.SchedulerRanking;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Gets a place for each request from the host that schedules its service.
 *
 * <p>Hosts that agree on who is alive agree on the scheduling host. An ask without an answer is
 * sent once more, because datagrams get lost, and because two hosts that schedule the same service
 * know less than one. A host that still does not answer is passed over for a while: the request
 * goes to the next in rank, and then to this host's own scheduler. Confined to the event loop.
 */
public final class PlacementClient {
  private static final long RESEND_MS = 35;
  private static final long ANSWER_TIMEOUT_MS = 50;
  private static final long SUSPECT_MS = 1_000;
  private static final int REMOTE_TRIES = 2;
  private static final int REPEATED_REPORTS = 2;
  private static final int RANKED = 4;
  private static final long RANKING_MS = 250;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final Link link;
  private final PeerTable peers;
  private final LocalSchedulers schedulers;
  private final int self;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Map<Long, Address> placedBy = new HashMap<>();
  private final Map<Integer, Address> askers = new HashMap<>();
  private final Map<Address, Long> suspects = new HashMap<>();
  private final Map<Address, Deque<AttemptReport>> recent = new HashMap<>();
  private final Map<String, Ranking> rankings = new HashMap<>();
  private long lastNumber;

  /**
   * Creates a placement.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where decisions are told
   * @param link the way to other hosts
   * @param peers who is alive
   * @param schedulers this host's own schedulers
   * @param selfName this host's name
   * @param firstNumber the number before the first ask, another one for each life of the host
   */
  public PlacementClient(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      Link link,
      PeerTable peers,
      LocalSchedulers schedulers,
      String selfName,
      long firstNumber) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.link = link;
    this.peers = peers;
    this.schedulers = schedulers;
    this.self = PeerTable.hash(selfName);
    this.lastNumber = firstNumber;
    schedulers.onDecision(this::deliver);
  }

  /**
   * Numbers an ask.
   *
   * @return a key that no other ask of this site has
   */
  public PlacementKey nextKey() {
    return new PlacementKey(self, ++lastNumber);
  }

  /**
   * Asks for a place.
   *
   * @param service the service's name
   * @param ask the request
   * @param end receives one place or refusal
   */
  public void requestPlacement(String service, PlacementRequest ask, Consumer<PlacementDecision> end) {
    ask(new Pending(service, ask, end));
  }

  /**
   * Tells how an attempt ended.
   *
   * @param service the service's name
   * @param r the end
   */
  public void report(String service, AttemptReport r) {
    Address by = placedBy.remove(r.key().sequenceNumber());
    if (by == null) {
      schedulers.report(service, r);
      return;
    }
    Deque<AttemptReport> last = recent.computeIfAbsent(by, a -> new ArrayDeque<>());
    List<AttemptReport> told = new ArrayList<>();
    told.add(r);
    told.addAll(last);
    last.addFirst(r);
    while (last.size() > REPEATED_REPORTS) {
      last.removeLast();
    }
    link.send(new LinkMessage.AttemptsEnded(service, told), by);
  }

  /**
   * Gives up waiting for a place.
   *
   * @param key the ask
   */
  public void cancelPlacement(PlacementKey key) {
    Pending p = pending.remove(key.sequenceNumber());
    if (p == null) {
      return;
    }
    p.stopTimer();
    if (p.asked == null) {
      schedulers.cancelQueued(p.service, key);
    } else {
      link.send(new LinkMessage.RequestCancelled(p.service, key), p.asked);
    }
  }

  /**
   * Takes in a message of another host.
   *
   * @param m the message
   * @param from its sender
   */
  public void onMessage(LinkMessage m, Address from) {
    if (m instanceof LinkMessage.RequestSubmitted a) {
      askers.put(a.request().key().hostHash(), from);
      schedulers.submit(a.service(), a.request(), () -> link.send(new LinkMessage.RequestDeclined(key(a)), from));
    } else if (m instanceof LinkMessage.DecisionMade d) {
      suspects.remove(from);
      decided(d.decision(), from);
    } else if (m instanceof LinkMessage.RequestDeclined u) {
      Pending p = pending.get(u.key().sequenceNumber());
      if (p != null && from.equals(p.asked)) {
        passOver(p, from, "unable");
      }
    } else if (m instanceof LinkMessage.AttemptsEnded e) {
      e.reports().forEach(r -> schedulers.report(e.service(), r));
    } else if (m instanceof LinkMessage.RequestCancelled w) {
      schedulers.cancelQueued(w.service(), w.key());
    }
  }

  private static PlacementKey key(LinkMessage.RequestSubmitted a) {
    return a.request().key();
  }

  private void ask(Pending p) {
    Optional<Address> owner = p.tries < REMOTE_TRIES ? owner(p) : Optional.empty();
    p.tries++;
    pending.put(p.ask.key().sequenceNumber(), p);
    if (owner.isEmpty()) {
      p.asked = null;
      schedulers.submit(p.service, p.ask);
      return;
    }
    p.asked = owner.get();
    p.resent = false;
    send(p, owner.get(), RESEND_MS);
  }

  private void send(Pending p, Address owner, long patienceMs) {
    p.startTimer(loop.schedule(() -> silent(p), patienceMs, TimeUnit.MILLISECONDS));
    link.send(new LinkMessage.RequestSubmitted(p.service, p.ask), owner);
  }

  /** The host to ask, or nothing when it is this one. */
  private Optional<Address> owner(Pending p) {
    long now = clock.getAsLong();
    for (HostRegistration e : ranking(p.service, now)) {
      Long suspected = suspects.get(e.linkAddress());
      if (suspected == null || now - suspected >= SUSPECT_MS) {
        return PeerTable.hash(e.name()) == self ? Optional.empty() : Optional.of(e.linkAddress());
      }
    }
    return Optional.empty();
  }

  private List<HostRegistration> ranking(String service, long now) {
    Ranking known = rankings.get(service);
    if (known != null && now - known.sinceMs < RANKING_MS) {
      return known.hosts;
    }
    List<HostRegistration> ranked =
        SchedulerRanking.rank(service, peers.eligibleSchedulers(now), RANKED);
    rankings.put(service, new Ranking(ranked, now));
    return ranked;
  }

  private void silent(Pending p) {
    Address asked = p.asked;
    if (pending.get(p.ask.key().sequenceNumber()) != p || asked == null) {
      return;
    }
    if (!p.waits && !p.resent) {
      p.resent = true;
      send(p, asked, ANSWER_TIMEOUT_MS);
      return;
    }
    link.send(new LinkMessage.RequestCancelled(p.service, p.ask.key()), asked);
    passOver(p, asked, "silent");
  }

  /** Asks the next host, and none of this one's asks goes to the given one for a while. */
  private void passOver(Pending p, Address asked, String why) {
    p.stopTimer();
    suspects.put(asked, clock.getAsLong());
    log.event("scheduler_passed_over")
        .with("why", why)
        .with("service", p.service)
        .with("asked", asked.toString())
        .with("ask", p.ask.key().sequenceNumber())
        .write();
    if (p.waits) {
      finish(p, new PlacementDecision.Rejected(p.ask.key(), ANSWER_TIMEOUT_MS));
    } else {
      ask(p);
    }
  }

  private void decided(PlacementDecision v, Address from) {
    Pending p = pending.get(v.key().sequenceNumber());
    boolean expected = p != null && from.equals(p.asked);
    if (p == null || !expected) {
      if (v instanceof PlacementDecision.Placed placed) {
        giveBack(p, placed, from);
      }
      return;
    }
    if (v instanceof PlacementDecision.Queued) {
      p.stopTimer();
      p.waits = true;
      long wait = p.ask.deadlineRemainingMs();
      p.startTimer(loop.schedule(() -> silent(p), wait, TimeUnit.MILLISECONDS));
      return;
    }
    if (v instanceof PlacementDecision.Placed) {
      placedBy.put(v.key().sequenceNumber(), from);
    }
    finish(p, v);
  }

  private void giveBack(@Nullable Pending p, PlacementDecision.Placed v, Address from) {
    if (from.equals(placedBy.get(v.key().sequenceNumber()))) {
      return;
    }
    var unused =
        new AttemptReport(v.key(), v.upstream().id(), AttemptOutcome.UNUSED, 0, Optional.empty());
    String service = p != null ? p.service : v.upstream().service();
    link.send(new LinkMessage.AttemptsEnded(service, List.of(unused)), from);
  }

  /** Passes on a verdict of this host's own schedulers. */
  private void deliver(PlacementDecision v) {
    if (v.key().hostHash() != self) {
      Address asker = askers.get(v.key().hostHash());
      if (asker != null) {
        link.send(new LinkMessage.DecisionMade(v), asker);
      }
      return;
    }
    Pending p = pending.get(v.key().sequenceNumber());
    if (p != null && p.asked == null && !(v instanceof PlacementDecision.Queued)) {
      finish(p, v);
    }
  }

  private void finish(Pending p, PlacementDecision v) {
    pending.remove(p.ask.key().sequenceNumber());
    p.stopTimer();
    p.end.accept(v);
  }

  private record Ranking(List<HostRegistration> hosts, long sinceMs) {}

  private static final class Pending {
    private final String service;
    private final PlacementRequest ask;
    private final Consumer<PlacementDecision> end;
    private int tries;
    private boolean resent;
    private boolean waits;
    private @Nullable Address asked;
    private @Nullable Future<?> timer;

    Pending(String service, PlacementRequest ask, Consumer<PlacementDecision> end) {
      this.service = service;
      this.ask = ask;
      this.end = end;
    }

    void startTimer(Future<?> t) {
      timer = t;
    }

    void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
    }
  }
}
