package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.decisions.retries.NextStep;
import dev.cactusstack.decisions.retries.RequestTraits;
import dev.cactusstack.decisions.state.Evidence;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.observe.ServiceMetrics;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Brings one request from its filters to its answer: chooses the data centre, waits for a lease or
 * passes the request to the route's owner, and repeats attempts where that is safe.
 *
 * <p>Invariants: the exchange gets one answer; a lease that was granted is released. Confined to
 * the exchange's I/O thread, except for the {@link Waiter} methods, which are thread-safe.
 */
final class RequestRun implements Waiter {
  private static final int SERVER_ERROR = 500;
  private static final long MISDIRECTED_PAUSE_MS = 30;

  private enum Wait {
    NONE,
    WAITING,
    ENDED
  }

  private final HttpServerExchange exchange;
  private final RequestFacts facts;
  private final DataPath path;
  private final ServiceMetrics metrics;
  private final Set<DataCentre> failedDataCentres = new HashSet<>();
  private final AtomicReference<Wait> wait = new AtomicReference<>(Wait.NONE);
  private volatile Set<Address> avoided = Set.of();
  private XnioExecutor.@Nullable Key waitTimer;
  private @Nullable Lease lease;
  private @Nullable Attempt attempt;
  private int attempts;
  private boolean everPossiblyRun;
  private boolean ended;
  private long upstreamNanos;
  private String lastReason = "";

  RequestRun(HttpServerExchange exchange, RequestFacts facts, DataPath path) {
    this.exchange = exchange;
    this.facts = facts;
    this.path = path;
    this.metrics = path.metrics().of(facts.service());
  }

  void start() {
    exchange.addExchangeCompleteListener(
        (x, next) -> {
          finish();
          next.proceed();
        });
    path.retries().deposit();
    route();
  }

  private void finish() {
    if (ended) {
      return;
    }
    ended = true;
    wait.set(Wait.ENDED);
    if (attempt != null) {
      attempt.cancel();
    }
    releaseLease();
    long total = path.ticker().nanos() - facts.arrivedNanos();
    metrics.answered(total, total - upstreamNanos);
  }

  private void releaseLease() {
    Lease l = lease;
    lease = null;
    if (l != null) {
      l.release();
    }
  }

  private void route() {
    if (ended) {
      return;
    }
    RoutingView view = path.view().get();
    Optional<RouteKey> key = destination(view);
    Optional<RouteOwner> owner = key.flatMap(view::owner);
    if (key.isEmpty() || owner.isEmpty()) {
      refuseNow(noUpstream(facts.service()));
    } else if (owner.get() instanceof RouteOwner.Local local) {
      waitFor(local.scheduler());
    } else if (owner.get() instanceof RouteOwner.Remote remote) {
      passOn(key.get(), remote.hop());
    }
  }

  private Optional<RouteKey> destination(RoutingView view) {
    if (facts.forwardedTo().isPresent()) {
      return facts.forwardedTo().map(d -> new RouteKey(facts.service(), d));
    }
    return Destinations.choose(
        view, facts.service(), failedDataCentres, path.remoteLoads(), path.random().get());
  }

  private static Problem noUpstream(ServiceName s) {
    return new Problem(
        ProblemKind.NO_UPSTREAM,
        "no data centre can serve " + s + " now",
        "check 'cactusctl status' for data centres that are out and for weights of 0");
  }

  // Waiting at the owner.

  private void waitFor(RouteScheduler scheduler) {
    wait.set(Wait.WAITING);
    waitTimer =
        exchange
            .getIoThread()
            .executeAfter(
                () -> refuse(waitedTooLong()),
                path.settings().queueTimeoutMs(),
                TimeUnit.MILLISECONDS);
    scheduler.submit(this);
  }

  private Problem waitedTooLong() {
    return new Problem(
        ProblemKind.OVERLOADED,
        "no upstream of "
            + facts.service()
            + " was free within "
            + path.settings().queueTimeoutMs()
            + " ms",
        "repeat the request after a pause, or add upstreams");
  }

  @Override
  public Set<Address> avoided() {
    return avoided;
  }

  @Override
  public boolean isWaiting() {
    return wait.get() == Wait.WAITING;
  }

  @Override
  public boolean grant(Lease granted) {
    if (!wait.compareAndSet(Wait.WAITING, Wait.NONE)) {
      return false;
    }
    onThread(() -> run(granted));
    return true;
  }

  @Override
  public void refuse(Problem problem) {
    if (wait.compareAndSet(Wait.WAITING, Wait.NONE)) {
      onThread(
          () -> {
            stopWaitTimer();
            boolean moved = problem.kind() == ProblemKind.MISDIRECTED;
            if (moved && facts.forwardedTo().isEmpty()) {
              route();
            } else {
              refuseNow(problem);
            }
          });
    }
  }

  private void onThread(Runnable r) {
    if (Thread.currentThread() == exchange.getIoThread()) {
      r.run();
    } else {
      exchange.getIoThread().execute(r);
    }
  }

  private void stopWaitTimer() {
    if (waitTimer != null) {
      waitTimer.remove();
    }
  }

  private void run(Lease granted) {
    stopWaitTimer();
    if (ended) {
      granted.release();
      return;
    }
    lease = granted;
    Address to = granted.upstream().address();
    ClientRequest r = RequestHeads.toUpstream(exchange, facts, to);
    Freshness freshness = facts.idempotent() ? Freshness.ANY : Freshness.PROVED;
    begin(to, r, freshness, new AtUpstream(granted.upstream()));
  }

  private void passOn(RouteKey key, Hop hop) {
    ClientRequest r = RequestHeads.toOwner(exchange, facts, key.dataCentre(), path.token().issue());
    Freshness freshness = facts.idempotent() ? Freshness.ANY : Freshness.PROVED;
    begin(hop.callers(), r, freshness, new AtOwner(key));
  }

  private void begin(Address to, ClientRequest r, Freshness freshness, Attempt.Listener listener) {
    attempts++;
    metrics.attempted();
    int timeout = path.settings().answerTimeoutMs();
    attempt = new Attempt(exchange, path.pools(), path.ticker(), to, r, timeout, listener);
    attempt.start(freshness);
  }

  // Ends of attempts.

  private void retryOrTell(AttemptState state, AttemptEvent cause, String reason) {
    attempt = null;
    lastReason = reason;
    releaseLease();
    everPossiblyRun |= !state.provesNotRun();
    boolean left =
        attempts < path.settings().attempts()
            && !exchange.isResponseStarted()
            && path.retries().withdraw();
    var traits = new RequestTraits(facts.idempotent(), isBodyUntouched(), left, !everPossiblyRun);
    NextStep step = state.next(traits);
    switch (step) {
      case RETRY -> again(cause);
      case TELL_NOT_RUN -> tell(cause, Outcome.NOT_RUN);
      case TELL_UNKNOWN -> tell(cause, Outcome.UNKNOWN);
      case ABORT_ANSWER -> IoUtils.safeClose(exchange.getConnection());
    }
  }

  private boolean isBodyUntouched() {
    return facts.bodiless() || exchange.isRequestChannelAvailable();
  }

  private void again(AttemptEvent cause) {
    if (cause == AttemptEvent.REFUSED) {
      exchange.getIoThread().executeAfter(this::route, MISDIRECTED_PAUSE_MS, TimeUnit.MILLISECONDS);
    } else {
      route();
    }
  }

  private void tell(AttemptEvent cause, Outcome outcome) {
    ProblemKind kind =
        switch (cause) {
          case CONNECT_FAILED -> ProblemKind.UPSTREAM_UNREACHABLE;
          case REFUSED -> ProblemKind.OVERLOADED;
          case TIMED_OUT -> ProblemKind.UPSTREAM_TIMEOUT;
          default -> ProblemKind.UPSTREAM_FAILED;
        };
    String remedy =
        outcome == Outcome.NOT_RUN
            ? "the request was not run; it is safe to repeat"
            : "the request may have run; repeat it only when it is idempotent, or look up its effect";
    send(
        new Problem(kind, "an upstream of " + facts.service() + " failed: " + lastReason, remedy),
        outcome);
  }

  private void refuseNow(Problem p) {
    send(p, everPossiblyRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
  }

  private void send(Problem p, Outcome outcome) {
    if (ended) {
      return;
    }
    metrics.refused(p.kind());
    Problems.send(exchange, p, outcome);
  }

  private void copyAnswer(ClientResponse response, long waitedNanos) {
    upstreamNanos += waitedNanos;
    exchange.setStatusCode(response.getResponseCode());
    HeaderMap to = exchange.getResponseHeaders();
    CactusHeaders.copyEndToEnd(response.getResponseHeaders(), to);
  }

  /** Follows an attempt at an upstream that this host schedules. */
  private final class AtUpstream implements Attempt.Listener {
    private final Upstream upstream;

    AtUpstream(Upstream upstream) {
      this.upstream = upstream;
    }

    @Override
    public boolean answered(ClientResponse response, long waitedNanos) {
      observeAnswer(response, waitedNanos / 1e6);
      copyAnswer(response, waitedNanos);
      if (facts.forwardedTo().isPresent()) {
        addRouteLoad();
      }
      return true;
    }

    private void observeAnswer(ClientResponse response, double ms) {
      LoadReport report =
          LoadReport.parse(response.getResponseHeaders().getFirst(CactusHeaders.LOAD));
      switch (report.state()) {
        case LEAVING -> observe(new Evidence.SaysLeaving());
        case COLD -> observe(new Evidence.SaysCold());
        default -> {}
      }
      boolean warm = report.state() == LoadReport.Reported.WARM;
      observe(
          response.getResponseCode() >= SERVER_ERROR
              ? new Evidence.ServerError(ms)
              : new Evidence.Success(ms, warm));
    }

    private void addRouteLoad() {
      RouteKey key = new RouteKey(facts.service(), facts.forwardedTo().orElseThrow());
      if (path.view().get().owner(key).orElse(null) instanceof RouteOwner.Local l) {
        exchange
            .getResponseHeaders()
            .put(CactusHeaders.ROUTE_LOAD, RemoteLoads.render(l.scheduler()));
      }
    }

    @Override
    public void completed() {
      releaseLease();
    }

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      observe(
          switch (cause) {
            case REFUSED -> new Evidence.Refusal();
            case TIMED_OUT -> new Evidence.Timeout();
            default -> new Evidence.ConnectionLost();
          });
      var more = new HashSet<>(avoided);
      more.add(upstream.address());
      avoided = Set.copyOf(more);
      retryOrTell(state, cause, reason);
    }

    private void observe(Evidence e) {
      upstream.observe(e, path.ticker().millis());
    }
  }

  /** Follows an attempt through the owner of the route. */
  private final class AtOwner implements Attempt.Listener {
    private final RouteKey key;

    AtOwner(RouteKey key) {
      this.key = key;
    }

    @Override
    public boolean answered(ClientResponse response, long waitedNanos) {
      HeaderMap from = response.getResponseHeaders();
      path.remoteLoads().record(key, from.getFirst(CactusHeaders.ROUTE_LOAD));
      copyAnswer(response, waitedNanos);
      // The owner removes this field from upstreams' answers, so here it is the owner's own word.
      String outcome = from.getFirst(CactusHeaders.OUTCOME);
      if (outcome != null) {
        exchange.getResponseHeaders().put(CactusHeaders.OUTCOME, outcome);
      }
      return true;
    }

    @Override
    public void completed() {}

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      if (cause != AttemptEvent.REFUSED) {
        failedDataCentres.add(key.dataCentre());
      }
      retryOrTell(state, cause, reason);
    }
  }
}
