package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.decisions.retries.RetryConditions;
import dev.cactusstack.decisions.retries.RetryDecision;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.callers.DestinationSelector.Choice;
import dev.cactusstack.host.callers.IdempotencyKeyClaims.Admission;
import dev.cactusstack.host.callers.OutgoingRequests.AttemptInfo;
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
final class RequestExecution {
  private static final long REROUTE_DELAY_MS = 30;

  private final HttpServerExchange exchange;
  private final RequestAttributes facts;
  private final DataPathContext path;
  private final ServiceMetrics metrics;
  private final DestinationSelector destinations;
  private Set<Address> avoided = Set.of();
  private @Nullable QueuedLeaseRequest pendingLease;
  private @Nullable HedgedRequest hedgedRequest;
  private @Nullable Attempt forwardedAttempt;
  private int attempts;
  private IdempotencyKeyClaims.@Nullable HeldClaim heldClaim;
  private boolean mayHaveRun;
  private boolean ended;
  private long upstreamWaitNanos;

  RequestExecution(HttpServerExchange exchange, RequestAttributes facts, DataPathContext path) {
    this.exchange = exchange;
    this.facts = facts;
    this.path = path;
    this.metrics = path.metrics().forService(facts.service());
    this.destinations = new DestinationSelector(facts.service(), path.remoteLoads(), path.random().get());
  }

  void start() {
    exchange.addExchangeCompleteListener(
        (x, next) -> {
          onExchangeComplete();
          next.proceed();
        });
    path.retries().deposit();
    path.hedges().deposit();
    if (IdempotencyKeyClaims.requiresClaim(exchange, facts)) {
      path.idempotencyKeys()
          .admit(exchange, facts)
          .thenAccept(a -> exchange.getIoThread().execute(() -> onAdmission(a)));
    } else {
      route();
    }
  }

  private void onAdmission(Admission a) {
    heldClaim = a.heldClaim();
    Problem p = a.problem();
    if (p != null) {
      sendProblem(p, a.outcome());
    } else if (ended) {
      releaseClaim(Outcome.NOT_RUN);
    } else {
      route();
    }
  }

  /** Lets the key be used again, but only when the request certainly did not run. */
  private void releaseClaim(Outcome outcome) {
    if (heldClaim != null && outcome == Outcome.NOT_RUN) {
      path.idempotencyKeys().releaseNotRun(heldClaim);
      heldClaim = null;
    }
  }

  private void onExchangeComplete() {
    ended = true;
    if (pendingLease != null) {
      pendingLease.abandon();
    }
    if (forwardedAttempt != null) {
      forwardedAttempt.cancel();
    }
    if (hedgedRequest != null) {
      hedgedRequest.callerFinished();
    }
    long total = path.ticker().nanos() - facts.arrivedAtNanos();
    metrics.recordRequest(total, total - upstreamWaitNanos);
  }

  // Choosing where to go.

  private void route() {
    if (ended) {
      return;
    }
    if (remainingMs() == 0) {
      reject(
          new Problem(
              ProblemKind.DEADLINE_PASSED,
              "the caller's deadline has passed",
              "allow more time in Cactusstack-Deadline-Ms, or send less at once"));
      return;
    }
    RoutingView view = path.view().get();
    Choice choice =
        facts.forwardedTo().isPresent()
            ? localRoute(view, facts.forwardedTo().get())
            : destinations.select(view, facts.bodiless());
    if (choice == null && destinations.clearFailures() && isWithinQueueTimeout()) {
      rerouteLater();
    } else if (choice == null) {
      reject(
          new Problem(
              ProblemKind.NO_UPSTREAM,
              "no data centre can serve " + facts.service() + " now",
              "check 'cactusctl status' for data centres that are out and for weights of 0"));
    } else if (choice.target().owner() instanceof RouteOwner.Local local) {
      serveLocally(choice, local.scheduler());
    } else if (choice.target().owner() instanceof RouteOwner.Remote remote) {
      forward(choice, remote.remoteHost());
    }
  }

  /** How long the caller still waits, at most the time limit of an answer. */
  private long remainingMs() {
    return facts.remainingMs(path.ticker().nanos(), path.settings().responseTimeoutMs());
  }

  private AttemptInfo attemptInfo() {
    return new AttemptInfo(facts.isRetry() || attempts > 1, remainingMs());
  }

  /** Whether the request may still be sent to another owner, or again to the same one. */
  private boolean isWithinQueueTimeout() {
    long waited = path.ticker().nanos() - facts.arrivedAtNanos();
    return waited < TimeUnit.MILLISECONDS.toNanos(path.settings().queueTimeoutMs());
  }

  private void rerouteLater() {
    path.pools().timers(exchange.getIoThread()).schedule(REROUTE_DELAY_MS, this::route);
  }

  private @Nullable Choice localRoute(RoutingView view, DataCentre d) {
    ServiceView s = view.service(facts.service());
    ServiceView.Target t = s == null ? null : s.targetIn(d);
    return t != null && t.owner() instanceof RouteOwner.Local
        ? new Choice(t, facts.mayRefuse())
        : null;
  }

  private void serveLocally(Choice choice, RouteScheduler scheduler) {
    if (!choice.mayRefuse()) {
      enqueue(choice.target().key(), scheduler);
      return;
    }
    Lease lease = scheduler.tryAcquire(avoided);
    if (lease != null) {
      startAttempts(choice.target().key(), scheduler, lease);
    } else if (facts.forwardedTo().isPresent()) {
      rejectWithLoad(choice.target().key(), scheduler);
    } else {
      destinations.refused(choice.target().key().dataCentre());
      route();
    }
  }

  private void rejectWithLoad(RouteKey key, RouteScheduler scheduler) {
    ProblemResponses.send(
        exchange,
        new Problem(
            ProblemKind.OVERLOADED, "route " + key + " has no free place", "ask another owner"),
        Outcome.NOT_RUN,
        h -> h.put(CactusHeaders.ROUTE_LOAD, RemoteRouteLoads.render(scheduler)));
  }

  private void enqueue(RouteKey key, RouteScheduler scheduler) {
    long timeoutMs = Math.min(path.settings().queueTimeoutMs(), remainingMs());
    pendingLease =
        new QueuedLeaseRequest(
            exchange.getIoThread(), avoided, lease -> startAttempts(key, scheduler, lease), this::leaseRejected);
    pendingLease.start(
        scheduler,
        path.pools().timers(exchange.getIoThread()),
        timeoutMs,
        new Problem(
            ProblemKind.OVERLOADED,
            "no upstream of " + facts.service() + " was free within " + timeoutMs + " ms",
            "repeat the request after a pause, or add upstreams"));
  }

  private void leaseRejected(Problem p) {
    pendingLease = null;
    boolean ownerChanged = p.kind() == ProblemKind.MISDIRECTED;
    if (ownerChanged && facts.forwardedTo().isEmpty()) {
      route();
    } else {
      reject(p);
    }
  }

  // Attempts.

  private void startAttempts(RouteKey key, RouteScheduler scheduler, Lease lease) {
    pendingLease = null;
    if (ended) {
      lease.release();
      return;
    }
    attempts++;
    hedgedRequest =
        new HedgedRequest(
            exchange, facts, path, scheduler, this::attemptInfo, new LocalResultListener(key, scheduler));
    hedgedRequest.start(lease);
  }

  private void forward(Choice choice, RemoteHost hop) {
    attempts += choice.mayRefuse() ? 0 : 1;
    metrics.recordAttempt();
    ClientRequest r =
        OutgoingRequests.toOwner(
            exchange,
            facts,
            attemptInfo(),
            choice.target().key().dataCentre(),
            path.token().issue(),
            choice.mayRefuse());
    Attempt attempt =
        new Attempt(
            exchange,
            path.pools(),
            path.ticker(),
            hop.callerAddress(),
            r,
            (int) Math.max(1, remainingMs()),
            new ForwardListener(choice));
    forwardedAttempt = attempt;
    attempt.start(facts.idempotent() ? Freshness.ANY : Freshness.RECENTLY_USED);
  }

  private void copyResponseHead(ClientResponse response, long elapsedNanos) {
    boolean outcomeKnown = !response.getResponseHeaders().contains(CactusHeaders.OUTCOME);
    if (heldClaim != null && outcomeKnown) {
      path.idempotencyKeys().recordStatus(heldClaim, response.getResponseCode());
    }
    upstreamWaitNanos += elapsedNanos;
    exchange.setStatusCode(response.getResponseCode());
    CactusHeaders.copyEndToEnd(response.getResponseHeaders(), exchange.getResponseHeaders());
  }

  private void retryOrReport(AttemptState state, AttemptEvent cause, String reason) {
    if (ended) {
      return;
    }
    mayHaveRun |= !state.provesNotRun();
    boolean retryAllowed =
        attempts < path.settings().maxAttempts()
            && !facts.isRetry()
            && !exchange.isResponseStarted()
            && path.retries().tryWithdraw();
    var conditions = new RetryConditions(facts.idempotent(), isBodyUnread(), retryAllowed, !mayHaveRun);
    RetryDecision decision = state.decideAfterFailure(conditions);
    switch (decision) {
      case RETRY -> retry(cause);
      case REPORT_NOT_RUN -> reportFailure(cause, reason, Outcome.NOT_RUN);
      case REPORT_UNKNOWN -> reportFailure(cause, reason, Outcome.UNKNOWN);
      case ABORT_RESPONSE -> IoUtils.safeClose(exchange.getConnection());
    }
  }

  private static Set<Address> append(Set<Address> set, Address a) {
    var more = new HashSet<>(set);
    more.add(a);
    return Set.copyOf(more);
  }

  private boolean isBodyUnread() {
    return facts.bodiless() || exchange.isRequestChannelAvailable();
  }

  private void retry(AttemptEvent cause) {
    if (cause == AttemptEvent.REFUSED) {
      rerouteLater();
    } else {
      route();
    }
  }

  private void reportFailure(AttemptEvent cause, String reason, Outcome outcome) {
    sendProblem(ProblemResponses.ofFailedAttempt(facts.service(), cause, reason, outcome), outcome);
  }

  private void reject(Problem p) {
    sendProblem(p, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
  }

  private void sendProblem(Problem p, Outcome outcome) {
    if (ended) {
      return;
    }
    releaseClaim(outcome);
    metrics.recordProblem(p.kind());
    ProblemResponses.send(exchange, p, outcome);
  }

  /** Takes the end of the attempts at upstreams that this host schedules. */
  private final class LocalResultListener implements HedgedRequest.ResultListener {
    private final RouteKey key;
    private final RouteScheduler scheduler;

    LocalResultListener(RouteKey key, RouteScheduler scheduler) {
      this.key = key;
      this.scheduler = scheduler;
    }

    @Override
    public void responseStarted(ClientResponse response, long waitedNanos) {
      copyResponseHead(response, waitedNanos);
      if (facts.forwardedTo().isPresent()) {
        exchange.getResponseHeaders().put(CactusHeaders.ROUTE_LOAD, RemoteRouteLoads.render(scheduler));
      }
    }

    @Override
    public void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason) {
      hedgedRequest = null;
      avoided = append(avoided, upstream);
      retryOrReport(state, cause, reason);
    }
  }

  /** Follows an attempt through the owner of the route. */
  private final class ForwardListener implements Attempt.Listener {
    private final Choice choice;
    private boolean misdirected;

    ForwardListener(Choice choice) {
      this.choice = choice;
    }

    @Override
    public void responseStarted(ClientResponse response, long waitedNanos) {
      HeaderMap from = response.getResponseHeaders();
      path.remoteLoads().record(choice.target().key(), from.getFirst(CactusHeaders.ROUTE_LOAD));
      copyResponseHead(response, waitedNanos);
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
      forwardedAttempt = null;
      if (misdirected && isWithinQueueTimeout()) {
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
      retryOrReport(state, cause, reason);
    }
  }
}
