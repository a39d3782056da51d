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
 * Executes one request: selects the data centre, waits for a lease or forwards the request to the
 * route's owner, and retries failed attempts where that is safe.
 *
 * <p>Invariant: exactly one response is sent on the exchange. Confined to the exchange's I/O
 * thread.
 */
final class RequestExecution {
  private static final long REROUTE_DELAY_MS = 30;

  private final HttpServerExchange exchange;
  private final RequestAttributes attributes;
  private final DataPathContext context;
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

  RequestExecution(
      HttpServerExchange exchange, RequestAttributes attributes, DataPathContext context) {
    this.exchange = exchange;
    this.attributes = attributes;
    this.context = context;
    this.metrics = context.metrics().forService(attributes.service());
    this.destinations =
        new DestinationSelector(
            attributes.service(), context.remoteLoads(), context.random().get());
  }

  void start() {
    exchange.addExchangeCompleteListener(
        (x, next) -> {
          onExchangeComplete();
          next.proceed();
        });
    context.retries().deposit();
    context.hedges().deposit();
    if (IdempotencyKeyClaims.requiresClaim(exchange, attributes)) {
      context
          .idempotencyKeys()
          .admit(exchange, attributes)
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

  /** Releases the claim on the idempotency key, but only when the request certainly did not run. */
  private void releaseClaim(Outcome outcome) {
    if (heldClaim != null && outcome == Outcome.NOT_RUN) {
      context.idempotencyKeys().releaseNotRun(heldClaim);
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
    long total = context.ticker().nanos() - attributes.arrivedAtNanos();
    metrics.recordRequest(total, total - upstreamWaitNanos);
  }

  // Routing.

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
    RoutingView view = context.view().get();
    Choice choice =
        attributes.forwardedTo().isPresent()
            ? localRoute(view, attributes.forwardedTo().get())
            : destinations.select(view, attributes.bodiless());
    if (choice == null && destinations.clearFailures() && isWithinQueueTimeout()) {
      rerouteLater();
    } else if (choice == null) {
      reject(
          new Problem(
              ProblemKind.NO_UPSTREAM,
              "no data centre can serve " + attributes.service() + " now",
              "check 'cactusctl status' for data centres that are out and for weights of 0"));
    } else if (choice.target().owner() instanceof RouteOwner.Local local) {
      serveLocally(choice, local.scheduler());
    } else if (choice.target().owner() instanceof RouteOwner.Remote remote) {
      forward(choice, remote.remoteHost());
    }
  }

  /** Returns how long the caller still waits, capped at the response timeout. */
  private long remainingMs() {
    return attributes.remainingMs(context.ticker().nanos(), context.settings().responseTimeoutMs());
  }

  private AttemptInfo attemptInfo() {
    return new AttemptInfo(attributes.isRetry() || attempts > 1, remainingMs());
  }

  /** Returns whether the queue timeout still allows the request to be sent to an owner again. */
  private boolean isWithinQueueTimeout() {
    long waited = context.ticker().nanos() - attributes.arrivedAtNanos();
    return waited < TimeUnit.MILLISECONDS.toNanos(context.settings().queueTimeoutMs());
  }

  private void rerouteLater() {
    context.pools().timers(exchange.getIoThread()).schedule(REROUTE_DELAY_MS, this::route);
  }

  private @Nullable Choice localRoute(RoutingView view, DataCentre d) {
    ServiceView s = view.service(attributes.service());
    ServiceView.Target t = s == null ? null : s.targetIn(d);
    return t != null && t.owner() instanceof RouteOwner.Local
        ? new Choice(t, attributes.mayRefuse())
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
    } else if (attributes.forwardedTo().isPresent()) {
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
            ProblemKind.OVERLOADED, "route " + key + " has no free capacity", "try another owner"),
        Outcome.NOT_RUN,
        h -> h.put(CactusHeaders.ROUTE_LOAD, RemoteRouteLoads.render(scheduler)));
  }

  private void enqueue(RouteKey key, RouteScheduler scheduler) {
    long timeoutMs = Math.min(context.settings().queueTimeoutMs(), remainingMs());
    pendingLease =
        new QueuedLeaseRequest(
            exchange.getIoThread(),
            avoided,
            lease -> startAttempts(key, scheduler, lease),
            this::leaseRejected);
    pendingLease.start(
        scheduler,
        context.pools().timers(exchange.getIoThread()),
        timeoutMs,
        new Problem(
            ProblemKind.OVERLOADED,
            "no upstream of " + attributes.service() + " was free within " + timeoutMs + " ms",
            "repeat the request after a pause, or add upstreams"));
  }

  private void leaseRejected(Problem p) {
    pendingLease = null;
    boolean ownerChanged = p.kind() == ProblemKind.MISDIRECTED;
    if (ownerChanged && attributes.forwardedTo().isEmpty()) {
      route();
    } else {
      reject(p);
    }
  }

  // Attempts and retries.

  private void startAttempts(RouteKey key, RouteScheduler scheduler, Lease lease) {
    pendingLease = null;
    if (ended) {
      lease.release();
      return;
    }
    attempts++;
    hedgedRequest =
        new HedgedRequest(
            exchange,
            attributes,
            context,
            scheduler,
            this::attemptInfo,
            new LocalResultListener(key, scheduler));
    hedgedRequest.start(lease);
  }

  private void forward(Choice choice, RemoteHost ownerHost) {
    attempts += choice.mayRefuse() ? 0 : 1;
    metrics.recordAttempt();
    ClientRequest r =
        OutgoingRequests.toOwner(
            exchange,
            attributes,
            attemptInfo(),
            choice.target().key().dataCentre(),
            context.token().issue(),
            choice.mayRefuse());
    Attempt attempt =
        new Attempt(
            exchange,
            context.pools(),
            context.ticker(),
            ownerHost.callerAddress(),
            r,
            (int) Math.max(1, remainingMs()),
            new ForwardListener(choice));
    forwardedAttempt = attempt;
    attempt.start(attributes.idempotent() ? Freshness.ANY : Freshness.RECENTLY_USED);
  }

  private void copyResponseHead(ClientResponse response, long elapsedNanos) {
    boolean outcomeKnown = !response.getResponseHeaders().contains(CactusHeaders.OUTCOME);
    if (heldClaim != null && outcomeKnown) {
      context.idempotencyKeys().recordStatus(heldClaim, response.getResponseCode());
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
        attempts < context.settings().maxAttempts()
            && !attributes.isRetry()
            && !exchange.isResponseStarted()
            && context.retries().tryWithdraw();
    var conditions =
        new RetryConditions(attributes.idempotent(), isBodyUnread(), retryAllowed, !mayHaveRun);
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
    return attributes.bodiless() || exchange.isRequestChannelAvailable();
  }

  private void retry(AttemptEvent cause) {
    if (cause == AttemptEvent.REFUSED) {
      rerouteLater();
    } else {
      route();
    }
  }

  private void reportFailure(AttemptEvent cause, String reason, Outcome outcome) {
    sendProblem(
        ProblemResponses.ofFailedAttempt(attributes.service(), cause, reason, outcome), outcome);
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

  /** Receives the result of attempts at upstreams that this host schedules. */
  private final class LocalResultListener implements HedgedRequest.ResultListener {
    private final RouteKey key;
    private final RouteScheduler scheduler;

    LocalResultListener(RouteKey key, RouteScheduler scheduler) {
      this.key = key;
      this.scheduler = scheduler;
    }

    @Override
    public void responseStarted(ClientResponse response, long elapsedNanos) {
      copyResponseHead(response, elapsedNanos);
      if (attributes.forwardedTo().isPresent()) {
        exchange
            .getResponseHeaders()
            .put(CactusHeaders.ROUTE_LOAD, RemoteRouteLoads.render(scheduler));
      }
    }

    @Override
    public void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason) {
      hedgedRequest = null;
      avoided = append(avoided, upstream);
      retryOrReport(state, cause, reason);
    }
  }

  /** Receives the events of an attempt that is forwarded to the route's owner. */
  private final class ForwardListener implements Attempt.Listener {
    private final Choice choice;
    private boolean misdirected;

    ForwardListener(Choice choice) {
      this.choice = choice;
    }

    @Override
    public void responseStarted(ClientResponse response, long elapsedNanos) {
      HeaderMap from = response.getResponseHeaders();
      context.remoteLoads().record(choice.target().key(), from.getFirst(CactusHeaders.ROUTE_LOAD));
      copyResponseHead(response, elapsedNanos);
      // The owner removes this header from upstream responses, so a value here was set by the
      // owner.
      String outcome = from.getFirst(CactusHeaders.OUTCOME);
      if (outcome != null) {
        exchange.getResponseHeaders().put(CactusHeaders.OUTCOME, outcome);
      }
    }

    @Override
    public void refused(ClientResponse response) {
      String load = response.getResponseHeaders().getFirst(CactusHeaders.ROUTE_LOAD);
      context.remoteLoads().recordRefusal(choice.target().key(), load);
      misdirected = response.getResponseCode() == ProblemKind.MISDIRECTED.status();
    }

    @Override
    public void completed() {}

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      forwardedAttempt = null;
      if (misdirected && isWithinQueueTimeout()) {
        // The two hosts briefly have different views of the members or the table; the request did
        // not run.
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
