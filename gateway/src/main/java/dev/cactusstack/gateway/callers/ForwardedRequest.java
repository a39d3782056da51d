package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.placing.UpstreamNotices;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.gateway.net.Exchange;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.net.OutgoingRequest;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.RouteMetrics;
import dev.cactusstack.gateway.observe.WorkspaceMetrics;
import dev.cactusstack.gateway.scheduling.QuotaClient;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.UpstreamRegistration;
import dev.cactusstack.model.site.Workspace;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one request of a caller to upstreams and sends the response to the caller.
 *
 * <p>Invariants: the caller gets exactly one response. A request that is not idempotent is retried
 * only after proof that it was not executed. It is reported as not executed only when this is
 * proved for every attempt. Nothing is sent for an API key that is no longer valid, and on a site
 * with workspaces no attempt carries the key. Confined to the event loop.
 */
final class ForwardedRequest implements RequestHandler.Cancellable {
  private static final int MAX_EXTRA_SENDS = 2;
  private static final long MIN_REMAINING_MS = 5;
  private static final long EXCHANGE_TIMEOUT_MARGIN_MS = 1_000;
  private static final long RETRY_AFTER_MS = 40;
  private static final long IMMEDIATE_RESET_MS = 40;

  private final ForwardingContext context;
  private final CallerRequest request;
  private final String id;
  private final RouteRule route;
  private final Optional<Workspace> workspace;
  private final Consumer<CallerResponse> responseConsumer;
  private final String service;
  private final long deadlineAtMs;
  private final long objectiveAtMs;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final Set<String> declinedUpstreams = new HashSet<>();
  private final List<Attempt> activeAttempts = new ArrayList<>();
  private QuotaClient.@Nullable Permit permit;
  private @Nullable PlacementKey pendingPlacement;
  private @Nullable Future<?> deadlineTimer;
  private @Nullable Future<?> hedgeTimer;
  private @Nullable ExchangeResult lastFailure;
  private int sends;
  private int reachedUpstreamCount;
  private int possibleExecutions;
  private boolean mayHaveRun;
  private boolean removesKey;
  private boolean done;

  ForwardedRequest(
      ForwardingContext context,
      CallerRequest request,
      String id,
      RouteRule route,
      Optional<Workspace> workspace,
      Consumer<CallerResponse> responseConsumer) {
    this.context = context;
    this.request = request;
    this.id = id;
    this.route = route;
    this.workspace = workspace;
    this.removesKey = context.authentication().isActive();
    this.responseConsumer = responseConsumer;
    this.service = context.weightedRoundRobin().next(route);
    long callerTimeoutMs = context.wire().deadlineMs(request.headers()).orElse(route.timeoutMs());
    this.deadlineAtMs = request.arrivedAtMs() + Math.min(callerTimeoutMs, route.timeoutMs());
    long elapsedBeforeArrivalMs =
        context.callerElapsedTime().elapsedMs(route.name(), callerTimeoutMs);
    this.objectiveAtMs =
        request.arrivedAtMs() + route.latencyObjectiveMs() - elapsedBeforeArrivalMs;
  }

  void start() {
    deadlineTimer =
        context
            .loop()
            .schedule(this::deadlineReached, Math.max(1, remainingMs()), TimeUnit.MILLISECONDS);
    workspace.filter(Workspace::hasQuota).ifPresentOrElse(this::requestPermit, this::admit);
  }

  /** Requests the one permit that this request needs, whatever its retries and hedges. */
  private void requestPermit(Workspace limited) {
    permit = context.quotas().permit(limited.name(), decision -> permitDecided(limited, decision));
    permit.request();
  }

  private void permitDecided(Workspace limited, QuotaDecision decision) {
    if (decision.isGranted()) {
      admit();
    } else {
      refuseOverQuota(limited, decision.retryAfterMs());
    }
  }

  private void admit() {
    context.retryWindows(service).recordRequest(now());
    context.hedgeLimit().recordRequest(now());
    requestSlot(false);
  }

  private void refuseOverQuota(Workspace limited, long retryAfterMs) {
    finish();
    figures().recordRefusal(Refusal.OVER_QUOTA.label());
    recordWorkspaceOutcome(Refusal.OVER_QUOTA.label());
    event("refused")
        .with("why", Refusal.OVER_QUOTA.label())
        .with("rate", Double.toString(limited.requestsPerSecond()))
        .with("burst", Double.toString(limited.burst()))
        .with("took_ms", now() - request.arrivedAtMs())
        .with("retry_ms", retryAfterMs)
        .write();
    CallerResponse response = CallerResponse.problem(Refusal.OVER_QUOTA);
    context.wire().setRequestId(response.headers(), id);
    responseConsumer.accept(response.retryAfter(retryAfterMs));
  }

  /** Returns the permit of a request that has ended and never ran on any upstream. */
  private void returnUnusedPermit() {
    if (permit != null && done && activeAttempts.isEmpty() && !mayHaveRun) {
      permit.giveBack();
    }
  }

  @Override
  public void cancel() {
    if (done) {
      return;
    }
    event("cancelled").with("attempts", sends).write();
    figures().recordRefusal("cancelled");
    recordWorkspaceOutcome("cancelled");
    done = true;
    stopTimers();
    cancelPlacement();
    if (route.kind().idempotent()) {
      abandonAll(AttemptOutcome.ABANDONED);
    }
    returnUnusedPermit();
  }

  private void requestSlot(boolean isHedge) {
    PlacementKey key = context.placement().nextKey();
    pendingPlacement = key;
    var placementRequest =
        new PlacementRequest(
            key,
            context.dataCentre(),
            route.name(),
            priority(),
            route.latencyObjectiveMs(),
            Math.max(0, objectiveAtMs - now()),
            Math.max(0, remainingMs()),
            request.body().length + context.responseSizes().estimateBytes(route.name()),
            isHedge,
            triedUpstreams,
            workspaceName());
    context.placement().requestPlacement(service, placementRequest, v -> decided(v, isHedge));
  }

  private void decided(PlacementDecision decision, boolean isHedge) {
    pendingPlacement = null;
    if (decision instanceof PlacementDecision.Placed p) {
      placed(p);
    } else if (decision instanceof PlacementDecision.Rejected t && activeAttempts.isEmpty()) {
      placementRejected(t, isHedge);
    }
  }

  /**
   * Gives up, or requests a placement again if a hedge was rejected: the first attempt has failed
   * in the meantime, so the request now needs a regular placement.
   */
  private void placementRejected(PlacementDecision.Rejected rejection, boolean isHedge) {
    if (isHedge && remainingMs() > MIN_REMAINING_MS) {
      requestSlot(false);
    } else {
      giveUp(Refusal.NO_ROOM, rejection.retryAfterMs());
    }
  }

  private void placed(PlacementDecision.Placed p) {
    boolean isRetry = reachedUpstreamCount > 0 || !activeAttempts.isEmpty();
    if (done || remainingMs() < MIN_REMAINING_MS) {
      report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
      return;
    }
    CallerAuthentication.Verdict verdict = context.authentication().check(route, request.headers());
    if (!verdict.allowed()) {
      refuseChangedKey(p, Refusal.UNAUTHORIZED);
      return;
    }
    if (needsAnotherPermit(verdict.workspace())) {
      refuseChangedKey(p, Refusal.KEY_UNCHECKED);
      return;
    }
    UpstreamNotices.Permission permission = notices().permission(p, now());
    if (permission != UpstreamNotices.Permission.ALLOWED) {
      decline(p, permission);
      return;
    }
    boolean isHedge = !activeAttempts.isEmpty();
    double expectedMs = isHedge ? context.hedgeLimit().countedMs(expectedMs(p)) : expectedMs(p);
    if (isHedge && !isAllowed(context.hedgeLimit().tryAcquire(expectedMs, now()))) {
      report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
      return;
    }
    if (isRetry && !tryAcquireRetryBudget()) {
      if (isHedge) {
        context.hedgeLimit().giveBack(expectedMs);
      }
      report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
      event("no_repeat").with("why", "budget").write();
      if (activeAttempts.isEmpty()) {
        giveUp(Refusal.NOT_RUN, RETRY_AFTER_MS);
      }
      return;
    }
    send(p, isHedge, expectedMs, verdict.workspace());
  }

  /** Logs and counts a hedge that the limit on hedges does not allow. */
  private boolean isAllowed(HedgeBudget.Decision decision) {
    if (decision == HedgeBudget.Decision.ALLOWED) {
      return true;
    }
    String reason = decision.name().toLowerCase(Locale.ROOT);
    event("hedge_refused").with("why", reason).write();
    figures().recordHedge("refused_" + reason);
    return false;
  }

  private double expectedMs(PlacementDecision.Placed p) {
    return p.expectedMs() > 0 ? p.expectedMs() : typicalMs();
  }

  private double typicalMs() {
    return context.processingTimes().estimateMs(route.name(), route.latencyObjectiveMs());
  }

  /** Checks whether the key has moved to a workspace with a quota that granted no permit. */
  private boolean needsAnotherPermit(Optional<Workspace> current) {
    return current.filter(Workspace::hasQuota).isPresent()
        && !current.map(Workspace::name).equals(workspace.map(Workspace::name));
  }

  /**
   * Returns a placement, because the key was revoked or has moved after the request arrived. A
   * running attempt goes on.
   */
  private void refuseChangedKey(PlacementDecision.Placed p, Refusal refusal) {
    report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
    if (activeAttempts.isEmpty()) {
      giveUp(refusal, RETRY_AFTER_MS);
    }
  }

  /**
   * Returns a placement on an upstream that wants no request from this host, or one that was not
   * counted against the upstream's limit, and requests another one. The report tells the scheduler
   * what the upstream said. A scheduler that does not learn it gets the upstream excluded, so that
   * the request does not go back and forth.
   */
  private void decline(PlacementDecision.Placed p, UpstreamNotices.Permission permission) {
    event("upstream_declined")
        .with("upstream", p.upstream().id())
        .with("why", permission.name().toLowerCase(Locale.ROOT))
        .write();
    report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
    boolean declinedBefore = !declinedUpstreams.add(p.upstream().id());
    if (permission == UpstreamNotices.Permission.LEAVING || declinedBefore) {
      triedUpstreams.add(p.upstream().id());
    }
    if (activeAttempts.isEmpty()) {
      requestSlot(false);
    }
  }

  private boolean tryAcquireRetryBudget() {
    boolean allowed = context.tryAcquireRetryBudget(service);
    figures().recordRetryDecision(allowed);
    return allowed;
  }

  private void send(
      PlacementDecision.Placed p,
      boolean isHedge,
      double expectedMs,
      Optional<Workspace> currentWorkspace) {
    UpstreamRegistration u = p.upstream();
    sends++;
    triedUpstreams.add(u.id());
    HttpHeaders headers = EndToEndHeaders.extract(request.headers());
    // A configuration without workspaces may have come into force while the request waited.
    removesKey |= context.authentication().isActive();
    if (removesKey) {
      context.wire().replaceCredentials(headers, currentWorkspace.map(Workspace::name).orElse(""));
    }
    context.wire().addUpstreamHeaders(headers, remainingMs(), u.id());
    var attempt = new Attempt(p.key(), u, isHedge, expectedMs, now());
    activeAttempts.add(attempt);
    if (isHedge) {
      figures().recordHedge("sent");
    }
    figures().recordSentAttempt(now() - request.arrivedAtMs());
    event("sent")
        .with("upstream", u.id())
        .with("address", u.address().toString())
        .with("attempt", sends)
        .with("ask", p.key().sequenceNumber())
        .with("waited_ms", now() - request.arrivedAtMs())
        .with("left_ms", remainingMs())
        .write();
    var outgoing =
        new OutgoingRequest(
            u.connectionPoolKey(),
            u.address(),
            request.method(),
            request.target(),
            headers,
            request.body(),
            new RequestResponseMatcher(id, u.id(), context.wire()),
            context.idleReuseLimit(service).maxIdleMs(route.kind().idempotent(), now()));
    attempt.exchange =
        context
            .client()
            .send(
                outgoing,
                remainingMs() + EXCHANGE_TIMEOUT_MARGIN_MS,
                reply -> handleAttemptEnd(attempt, reply));
    if (sends == 1 && route.kind().idempotent() && route.maxAttempts() > 1) {
      long delayMs =
          context.hedgeLimit().delayMs(p.expectedMs(), typicalMs(), objectiveAtMs - now());
      hedgeTimer = context.loop().schedule(this::hedge, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Sends the request to a second upstream if the first has not responded yet. */
  private void hedge() {
    if (!done
        && pendingPlacement == null
        && activeAttempts.size() == 1
        && possibleExecutions + 1 < route.maxAttempts()
        && isAllowed(context.hedgeLimit().check(typicalMs(), now()))) {
      event("hedge").with("after_ms", now() - activeAttempts.get(0).startedAtMs).write();
      requestSlot(true);
    }
  }

  private void handleAttemptEnd(Attempt a, ExchangeResult result) {
    activeAttempts.remove(a);
    recordUpstreamTime(a);
    Optional<ReportedLoad> load =
        result instanceof ExchangeResult.Response r
            ? context.wire().reportedLoad(r.headers())
            : Optional.empty();
    AttemptOutcome end = context.attemptClassifier().classify(result);
    if (end != AttemptOutcome.WRONG_INSTANCE && result instanceof ExchangeResult.Response r) {
      context.noticeReader().read(a.upstream, r, a.startedAtMs);
    }
    report(a.key, a.upstream, end, now() - a.startedAtMs, load);
    figures().recordAttemptOutcome(end.label());
    logSkippedResponses(a);
    if (result instanceof ExchangeResult.Incomplete
        && now() - a.startedAtMs <= IMMEDIATE_RESET_MS
        && a.exchange != null) {
      context.idleReuseLimit(service).recordReset(a.exchange.connectionIdleMs(), now());
    }
    if (end != AttemptOutcome.UNREACHABLE) {
      reachedUpstreamCount++;
    }
    if (!end.provesNotRun()) {
      possibleExecutions++;
      mayHaveRun = true;
    }
    if (done) {
      returnUnusedPermit();
      return;
    }
    if (end == AttemptOutcome.ANSWERED && result instanceof ExchangeResult.Response r) {
      recordProcessingTime(now() - a.startedAtMs, load);
      context.responseSizes().recordResponse(route.name(), r.body().length);
      if (a.hedge) {
        figures().recordHedge("won");
      }
      if (context.hedgeLimit().cancelsOtherCopies() && !activeAttempts.isEmpty()) {
        cancelOtherCopies();
      }
      deliver(r, a.upstream);
      return;
    }
    event("attempt_ended")
        .with("upstream", a.upstream.id())
        .with("end", end.name())
        .with("cause", AttemptClassifier.cause(result))
        .with("took_ms", now() - a.startedAtMs)
        .write();
    retryOrGiveUp(end, result);
  }

  /** Aborts the other copies of a request that has been answered, and releases their slots. */
  private void cancelOtherCopies() {
    event("hedge_cancelled").with("copies", activeAttempts.size()).write();
    activeAttempts.forEach(a -> figures().recordHedge("cancelled"));
    abandonAll(AttemptOutcome.ABANDONED);
  }

  private void recordUpstreamTime(Attempt a) {
    long tookMs = now() - a.startedAtMs;
    context.hedgeLimit().recordEnd(a.hedge, a.expectedMs, tookMs, now());
  }

  private void logSkippedResponses(Attempt a) {
    Exchange e = a.exchange;
    if (e != null && e.skippedResponses() > 0) {
      event("responses_skipped")
          .with("upstream", a.upstream.id())
          .with("count", e.skippedResponses())
          .with("first_status", e.firstSkippedStatus())
          .write();
    }
  }

  /** Retries or gives up after an attempt without a usable response. */
  private void retryOrGiveUp(AttemptOutcome end, ExchangeResult result) {
    if (!activeAttempts.isEmpty() || pendingPlacement != null) {
      return;
    }
    boolean allowed = end.provesNotRun() || route.kind().idempotent();
    boolean attemptsLeft =
        possibleExecutions < route.maxAttempts() && sends < route.maxAttempts() + MAX_EXTRA_SENDS;
    lastFailure = result;
    if (allowed && attemptsLeft && remainingMs() > MIN_REMAINING_MS) {
      requestSlot(false);
      return;
    }
    giveUp(end.provesNotRun() ? Refusal.NOT_RUN : Refusal.NO_ANSWER, RETRY_AFTER_MS);
  }

  private void recordProcessingTime(long tookMs, Optional<ReportedLoad> load) {
    double reportedSlowdown = load.map(ReportedLoad::slowdown).orElse(1.0);
    context
        .processingTimes()
        .recordResponse(route.name(), route.latencyObjectiveMs(), tookMs, reportedSlowdown);
  }

  private void deliver(ExchangeResult.Response r, UpstreamRegistration upstreamRegistration) {
    finish();
    figures().recordAnsweredRequest(now() - request.arrivedAtMs());
    recordWorkspaceOutcome(WorkspaceMetrics.ANSWERED);
    event("answered")
        .with("status", r.status())
        .with("upstream", upstreamRegistration.id())
        .with(
            "load",
            context.wire().reportedLoad(r.headers()).map(ReportedLoad::toString).orElse("untold"))
        .with("attempts", sends)
        .with("took_ms", now() - request.arrivedAtMs())
        .write();
    responseConsumer.accept(
        new CallerResponse(r.status(), EndToEndHeaders.extract(r.headers()), r.body()));
  }

  private void deadlineReached() {
    if (done) {
      return;
    }
    abandonAll(AttemptOutcome.TIMED_OUT);
    giveUp(Refusal.LATE, RETRY_AFTER_MS);
  }

  /** Sends a failure to the caller when no upstream has served the request. */
  private void giveUp(Refusal requestedRefusal, long retryAfterMs) {
    finish();
    if (lastFailure instanceof ExchangeResult.Response r
        && mayHaveRun
        && context.attemptClassifier().isForwardable(r)) {
      event("answered").with("status", r.status()).with("attempts", sends).write();
      figures().recordAnsweredRequest(now() - request.arrivedAtMs());
      recordWorkspaceOutcome(WorkspaceMetrics.ANSWERED);
      responseConsumer.accept(
          new CallerResponse(r.status(), EndToEndHeaders.extract(r.headers()), r.body()));
      return;
    }
    Refusal refusal = truthfulRefusal(requestedRefusal);
    figures().recordRefusal(refusal.label());
    recordWorkspaceOutcome(refusal.label());
    event("refused")
        .with("why", refusal.label())
        .with("attempts", sends)
        .with("took_ms", now() - request.arrivedAtMs())
        .with("retry_ms", retryAfterMs)
        .write();
    CallerResponse a = CallerResponse.problem(refusal);
    context.wire().setRequestId(a.headers(), id);
    boolean mayRetry = !mayHaveRun && refusal != Refusal.UNAUTHORIZED;
    responseConsumer.accept(mayRetry ? a.retryAfter(retryAfterMs) : a);
  }

  /**
   * Replaces a refusal that would be untrue: one that promises that the request was not executed
   * must hold for every attempt.
   */
  private Refusal truthfulRefusal(Refusal requestedRefusal) {
    if (!mayHaveRun) {
      return requestedRefusal == Refusal.LATE || requestedRefusal == Refusal.NO_ANSWER
          ? Refusal.NO_ROOM
          : requestedRefusal;
    }
    return requestedRefusal == Refusal.LATE ? Refusal.LATE : Refusal.NO_ANSWER;
  }

  private void finish() {
    done = true;
    stopTimers();
    cancelPlacement();
    returnUnusedPermit();
    // Active attempts continue until they end, because the scheduler needs their reports.
  }

  private void abandonAll(AttemptOutcome end) {
    for (Attempt a : List.copyOf(activeAttempts)) {
      if (a.exchange != null) {
        mayHaveRun |= a.exchange.mayHaveBeenSent();
        a.exchange.abort();
      }
      recordUpstreamTime(a);
      report(a.key, a.upstream, end, now() - a.startedAtMs, Optional.empty());
    }
    activeAttempts.clear();
  }

  private void cancelPlacement() {
    if (pendingPlacement != null) {
      context.placement().cancelPlacement(pendingPlacement);
      pendingPlacement = null;
    }
  }

  private void stopTimers() {
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (hedgeTimer != null) {
      hedgeTimer.cancel(false);
    }
  }

  private void report(
      PlacementKey key,
      UpstreamRegistration u,
      AttemptOutcome end,
      long tookMs,
      Optional<ReportedLoad> load) {
    UpstreamNotice notice = notices().current(u, now());
    context.placement().report(service, new AttemptReport(key, u.id(), end, tookMs, load, notice));
  }

  private UpstreamNotices notices() {
    return context.noticeReader().notices();
  }

  private RouteMetrics figures() {
    return context.figures().route(route.name());
  }

  private void recordWorkspaceOutcome(String outcome) {
    workspace.ifPresent(w -> context.figures().workspaces().recordOutcome(w.name(), outcome));
  }

  private String workspaceName() {
    return workspace.map(Workspace::name).orElse("");
  }

  private int priority() {
    OptionalInt ofWorkspace = workspace.map(Workspace::priority).orElse(OptionalInt.empty());
    return ofWorkspace.orElse(route.priority());
  }

  private long now() {
    return context.clock().getAsLong();
  }

  private long remainingMs() {
    return deadlineAtMs - now();
  }

  private EventLine event(String name) {
    EventLine line = context.log().event(name).with("id", id).with("route", route.name());
    return workspace.isPresent() ? line.with("workspace", workspaceName()) : line;
  }

  private static final class Attempt {
    private final PlacementKey key;
    private final UpstreamRegistration upstream;
    private final boolean hedge;
    private final double expectedMs;
    private final long startedAtMs;
    private @Nullable Exchange exchange;

    Attempt(
        PlacementKey key,
        UpstreamRegistration upstream,
        boolean hedge,
        double expectedMs,
        long startedAtMs) {
      this.key = key;
      this.upstream = upstream;
      this.hedge = hedge;
      this.expectedMs = expectedMs;
      this.startedAtMs = startedAtMs;
    }
  }
}
