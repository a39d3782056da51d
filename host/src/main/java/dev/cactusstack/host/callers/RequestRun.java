package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.decisions.retries.RetryConditions;
import dev.cactusstack.decisions.retries.RetryDecision;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.callers.Destinations.Choice;
import dev.cactusstack.host.callers.KeyedRequests.Admission;
import dev.cactusstack.host.callers.RequestHeads.Passage;
import dev.cactusstack.host.observe.ServiceMetrics;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.RouteKey;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Brings one request from its filters to its answer: chooses the data centre, waits for a lease or
 * passes the request to the route's owner, and repeats attempts where that is safe.
 *
 * <p>Invariant: the exchange gets one answer. Confined to the exchange's I/O thread.
 */
final class RequestRun {
  private static final long MISDIRECTED_PAUSE_MS = 30;

  private final HttpServerExchange exchange;
  private final RequestFacts facts;
  private final DataPath path;
  private final ServiceMetrics metrics;
  private final Destinations destinations;
  private Set<Address> avoided = Set.of();
  private @Nullable LeaseWait wait;
  private @Nullable UpstreamRace race;
  private @Nullable Attempt passedOn;
  private int attempts;
  private KeyedRequests.@Nullable Held held;
  private boolean everPossiblyRun;
  private boolean ended;
  private long upstreamNanos;

  RequestRun(HttpServerExchange exchange, RequestFacts facts, DataPath path) {
    this.exchange = exchange;
    this.facts = facts;
    this.path = path;
    this.metrics = path.metrics().of(facts.service());
    this.destinations = new Destinations(facts.service(), path.remoteLoads(), path.random().get());
  }

  void start() {
    exchange.addExchangeCompleteListener(
        (x, next) -> {
          finish();
          next.proceed();
        });
    path.retries().deposit();
    path.hedges().deposit();
    if (KeyedRequests.concerns(exchange, facts)) {
      path.keyed()
          .admit(exchange, facts)
          .thenAccept(a -> exchange.getIoThread().execute(() -> admitted(a)));
    } else {
      route();
    }
  }

  private void admitted(Admission a) {
    held = a.held();
    Problem p = a.problem();
    if (p != null) {
      send(p, a.outcome());
    } else if (ended) {
      giveClaimBack(Outcome.NOT_RUN);
    } else {
      route();
    }
  }

  /** Lets the key be used again, but only when the request certainly did not run. */
  private void giveClaimBack(Outcome outcome) {
    if (held != null && outcome == Outcome.NOT_RUN) {
      path.keyed().notRun(held);
      held = null;
    }
  }

  private void finish() {
    ended = true;
    if (wait != null) {
      wait.giveUp();
    }
    if (passedOn != null) {
      passedOn.cancel();
    }
    if (race != null) {
      race.callerGone();
    }
    long total = path.ticker().nanos() - facts.arrivedNanos();
    metrics.answered(total, total - upstreamNanos);
  }

  // Choosing where to go.

  private void route() {
    if (ended) {
      return;
    }
    if (leftMs() == 0) {
      refuseNow(
          new Problem(
              ProblemKind.DEADLINE_PASSED,
              "the caller's deadline has passed",
              "allow more time in Cactusstack-Deadline-Ms, or send less at once"));
      return;
    }
    RoutingView view = path.view().get();
    Choice choice =
        facts.forwardedTo().isPresent()
            ? ownRoute(view, facts.forwardedTo().get())
            : destinations.next(view, facts.bodiless());
    if (choice == null && destinations.forgetFailures() && isWithinWait()) {
      routeLater();
    } else if (choice == null) {
      refuseNow(
          new Problem(
              ProblemKind.NO_UPSTREAM,
              "no data centre can serve " + facts.service() + " now",
              "check 'cactusctl status' for data centres that are out and for weights of 0"));
    } else if (choice.target().owner() instanceof RouteOwner.Local local) {
      serveHere(choice, local.scheduler());
    } else if (choice.target().owner() instanceof RouteOwner.Remote remote) {
      passOn(choice, remote.hop());
    }
  }

  /** How long the caller still waits, at most the time limit of an answer. */
  private long leftMs() {
    return facts.leftMs(path.ticker().nanos(), path.settings().responseTimeoutMs());
  }

  private Passage passage() {
    return new Passage(facts.repeated() || attempts > 1, leftMs());
  }

  /** Whether the request may still be sent to another owner, or again to the same one. */
  private boolean isWithinWait() {
    long waited = path.ticker().nanos() - facts.arrivedNanos();
    return waited < TimeUnit.MILLISECONDS.toNanos(path.settings().queueTimeoutMs());
  }

  private void routeLater() {
    path.pools().timers(exchange.getIoThread()).schedule(MISDIRECTED_PAUSE_MS, this::route);
  }

  private @Nullable Choice ownRoute(RoutingView view, DataCentre d) {
    ServiceView s = view.service(facts.service());
    ServiceView.Target t = s == null ? null : s.at(d);
    return t != null && t.owner() instanceof RouteOwner.Local
        ? new Choice(t, facts.mayRefuse())
        : null;
  }

  private void serveHere(Choice choice, RouteScheduler scheduler) {
    if (!choice.mayRefuse()) {
      waitFor(choice.target().key(), scheduler);
      return;
    }
    Lease lease = scheduler.tryNow(avoided);
    if (lease != null) {
      run(choice.target().key(), scheduler, lease);
    } else if (facts.forwardedTo().isPresent()) {
      refuseWithLoad(choice.target().key(), scheduler);
    } else {
      destinations.refused(choice.target().key().dataCentre());
      route();
    }
  }

  private void refuseWithLoad(RouteKey key, RouteScheduler scheduler) {
    Problems.send(
        exchange,
        new Problem(
            ProblemKind.OVERLOADED, "route " + key + " has no free place", "ask another owner"),
        Outcome.NOT_RUN,
        h -> h.put(CactusHeaders.ROUTE_LOAD, RemoteLoads.render(scheduler)));
  }

  private void waitFor(RouteKey key, RouteScheduler scheduler) {
    long timeoutMs = Math.min(path.settings().queueTimeoutMs(), leftMs());
    wait =
        new LeaseWait(
            exchange.getIoThread(), avoided, lease -> run(key, scheduler, lease), this::waitEnded);
    wait.start(
        scheduler,
        path.pools().timers(exchange.getIoThread()),
        timeoutMs,
        new Problem(
            ProblemKind.OVERLOADED,
            "no upstream of " + facts.service() + " was free within " + timeoutMs + " ms",
            "repeat the request after a pause, or add upstreams"));
  }

  private void waitEnded(Problem p) {
    wait = null;
    boolean ownerChanged = p.kind() == ProblemKind.MISDIRECTED;
    if (ownerChanged && facts.forwardedTo().isEmpty()) {
      route();
    } else {
      refuseNow(p);
    }
  }

  // Attempts.

  private void run(RouteKey key, RouteScheduler scheduler, Lease lease) {
    wait = null;
    if (ended) {
      lease.release();
      return;
    }
    attempts++;
    race =
        new UpstreamRace(
            exchange, facts, path, scheduler, this::passage, new RaceEnd(key, scheduler));
    race.start(lease);
  }

  private void passOn(Choice choice, Hop hop) {
    attempts += choice.mayRefuse() ? 0 : 1;
    metrics.attempted();
    ClientRequest r =
        RequestHeads.toOwner(
            exchange,
            facts,
            passage(),
            choice.target().key().dataCentre(),
            path.token().issue(),
            choice.mayRefuse());
    Attempt attempt =
        new Attempt(
            exchange,
            path.pools(),
            path.ticker(),
            hop.callers(),
            r,
            (int) Math.max(1, leftMs()),
            new AtOwner(choice));
    passedOn = attempt;
    attempt.start(facts.idempotent() ? Freshness.ANY : Freshness.PROVED);
  }

  private void copyAnswer(ClientResponse response, long waitedNanos) {
    boolean whetherRunIsKnown = !response.getResponseHeaders().contains(CactusHeaders.OUTCOME);
    if (held != null && whetherRunIsKnown) {
      path.keyed().answered(held, response.getResponseCode());
    }
    upstreamNanos += waitedNanos;
    exchange.setStatusCode(response.getResponseCode());
    CactusHeaders.copyEndToEnd(response.getResponseHeaders(), exchange.getResponseHeaders());
  }

  private void retryOrTell(AttemptState state, AttemptEvent cause, String reason) {
    if (ended) {
      return;
    }
    everPossiblyRun |= !state.provesNotRun();
    boolean left =
        attempts < path.settings().maxAttempts()
            && !facts.repeated()
            && !exchange.isResponseStarted()
            && path.retries().tryWithdraw();
    var traits = new RetryConditions(facts.idempotent(), isBodyUntouched(), left, !everPossiblyRun);
    RetryDecision step = state.decideAfterFailure(traits);
    switch (step) {
      case RETRY -> again(cause);
      case REPORT_NOT_RUN -> tell(cause, reason, Outcome.NOT_RUN);
      case REPORT_UNKNOWN -> tell(cause, reason, Outcome.UNKNOWN);
      case ABORT_RESPONSE -> IoUtils.safeClose(exchange.getConnection());
    }
  }

  private static Set<Address> with(Set<Address> set, Address a) {
    var more = new HashSet<>(set);
    more.add(a);
    return Set.copyOf(more);
  }

  private boolean isBodyUntouched() {
    return facts.bodiless() || exchange.isRequestChannelAvailable();
  }

  private void again(AttemptEvent cause) {
    if (cause == AttemptEvent.REFUSED) {
      routeLater();
    } else {
      route();
    }
  }

  private void tell(AttemptEvent cause, String reason, Outcome outcome) {
    send(Problems.ofAttempt(facts.service(), cause, reason, outcome), outcome);
  }

  private void refuseNow(Problem p) {
    send(p, everPossiblyRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
  }

  private void send(Problem p, Outcome outcome) {
    if (ended) {
      return;
    }
    giveClaimBack(outcome);
    metrics.refused(p.kind());
    Problems.send(exchange, p, outcome);
  }

  /** Takes the end of the attempts at upstreams that this host schedules. */
  private final class RaceEnd implements UpstreamRace.End {
    private final RouteKey key;
    private final RouteScheduler scheduler;

    RaceEnd(RouteKey key, RouteScheduler scheduler) {
      this.key = key;
      this.scheduler = scheduler;
    }

    @Override
    public void answered(ClientResponse response, long waitedNanos) {
      copyAnswer(response, waitedNanos);
      if (facts.forwardedTo().isPresent()) {
        exchange.getResponseHeaders().put(CactusHeaders.ROUTE_LOAD, RemoteLoads.render(scheduler));
      }
    }

    @Override
    public void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason) {
      race = null;
      avoided = with(avoided, upstream);
      retryOrTell(state, cause, reason);
    }
  }

  /** Follows an attempt through the owner of the route. */
  private final class AtOwner implements Attempt.Listener {
    private final Choice choice;
    private boolean misdirected;

    AtOwner(Choice choice) {
      this.choice = choice;
    }

    @Override
    public void answered(ClientResponse response, long waitedNanos) {
      HeaderMap from = response.getResponseHeaders();
      path.remoteLoads().record(choice.target().key(), from.getFirst(CactusHeaders.ROUTE_LOAD));
      copyAnswer(response, waitedNanos);
      // The owner removes this field from upstreams' answers, so here it is the owner's own word.
      String outcome = from.getFirst(CactusHeaders.OUTCOME);
      if (outcome != null) {
        exchange.getResponseHeaders().put(CactusHeaders.OUTCOME, outcome);
      }
    }

    @Override
    public void refused(ClientResponse response) {
      String load = response.getResponseHeaders().getFirst(CactusHeaders.ROUTE_LOAD);
      path.remoteLoads().recordRefusal(choice.target().key(), load);
      misdirected = response.getResponseCode() == ProblemKind.MISDIRECTED.status();
    }

    @Override
    public void completed() {}

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      passedOn = null;
      if (misdirected && isWithinWait()) {
        // The hosts disagree for a moment, on the members or on the table; nothing was run.
        destinations.failed(choice.target().key().dataCentre());
        attempts -= choice.mayRefuse() ? 0 : 1;
        route();
        return;
      }
      if (choice.mayRefuse() && cause == AttemptEvent.REFUSED) {
        destinations.refused(choice.target().key().dataCentre());
        route();
        return;
      }
      if (cause != AttemptEvent.REFUSED) {
        destinations.failed(choice.target().key().dataCentre());
      }
      retryOrTell(state, cause, reason);
    }
  }
}
