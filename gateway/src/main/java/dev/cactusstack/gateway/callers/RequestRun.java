package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.retries.HedgeDelay;
import dev.cactusstack.gateway.net.Exchange;
import dev.cactusstack.gateway.net.Outgoing;
import dev.cactusstack.gateway.net.Reply;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.RouteMetrics;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, from its arrival to its answer.
 *
 * <p>Invariants: the caller gets one answer. A request that may run only once is sent again only
 * after proof that it did not run. It is answered as not run only when every attempt is proved not
 * to have run. Confined to the event loop.
 */
final class RequestRun implements Filter.Running {
  private static final int SENDS_BEYOND_ATTEMPTS = 2;
  private static final long LEAST_TIME_MS = 5;
  private static final long EXCHANGE_SLACK_MS = 1_000;
  private static final long REFUSED_RETRY_MS = 40;
  private static final long AT_ONCE_MS = 40;

  private final RequestTools tools;
  private final CallerRequest request;
  private final String id;
  private final RouteRule route;
  private final Consumer<CallerAnswer> answer;
  private final String service;
  private final long endMs;
  private final long onTimeAtMs;
  private final Set<String> tried = new HashSet<>();
  private final List<Attempt> running = new ArrayList<>();
  private @Nullable PlacementKey asking;
  private @Nullable Future<?> endTimer;
  private @Nullable Future<?> hedgeTimer;
  private @Nullable Reply lastFailure;
  private int sends;
  private int arrivals;
  private int runs;
  private boolean mayHaveRun;
  private boolean done;

  RequestRun(
      RequestTools tools,
      CallerRequest request,
      String id,
      RouteRule route,
      Consumer<CallerAnswer> answer) {
    this.tools = tools;
    this.request = request;
    this.id = id;
    this.route = route;
    this.answer = answer;
    this.service = tools.parts().next(route);
    long callerMs = tools.wire().deadlineMs(request.headers()).orElse(route.timeoutMs());
    this.endMs = request.arrivedMs() + Math.min(callerMs, route.timeoutMs());
    long spentMs = tools.patience().elapsedMs(route.name(), callerMs);
    this.onTimeAtMs = request.arrivedMs() + route.latencyObjectiveMs() - spentMs;
  }

  void start() {
    tools.repeats(service).recordRequest(now());
    endTimer = tools.loop().schedule(this::timeOver, Math.max(1, left()), TimeUnit.MILLISECONDS);
    ask(false);
  }

  @Override
  public void cancel() {
    if (done) {
      return;
    }
    event("cancelled").with("attempts", sends).write();
    figures().recordRefusal("cancelled");
    done = true;
    stopTimers();
    withdraw();
    if (route.kind().idempotent()) {
      abandonAll(AttemptOutcome.ABANDONED);
    }
  }

  private void ask(boolean spare) {
    PlacementKey key = tools.placement().nextKey();
    asking = key;
    var ask =
        new PlacementRequest(
            key,
            tools.dataCentre(),
            route.name(),
            route.priority(),
            route.latencyObjectiveMs(),
            Math.max(0, onTimeAtMs - now()),
            Math.max(0, left()),
            request.body().length,
            spare,
            tried);
    tools.placement().requestPlacement(service, ask, v -> decided(v, spare));
  }

  private void decided(PlacementDecision v, boolean spare) {
    asking = null;
    if (v instanceof PlacementDecision.Placed p) {
      placed(p);
    } else if (v instanceof PlacementDecision.Rejected t && running.isEmpty()) {
      turnedAway(t, spare);
    }
  }

  /** A second attempt that got no slot, while the first has failed meanwhile, asks like a first. */
  private void turnedAway(PlacementDecision.Rejected t, boolean spare) {
    if (spare && left() > LEAST_TIME_MS) {
      ask(false);
    } else {
      giveUp(Refusal.NO_ROOM, t.retryAfterMs());
    }
  }

  private void placed(PlacementDecision.Placed p) {
    boolean again = arrivals > 0 || !running.isEmpty();
    if (done || left() < LEAST_TIME_MS) {
      report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
      return;
    }
    if (again && !mayRepeat()) {
      report(p.key(), p.upstream(), AttemptOutcome.UNUSED, 0, Optional.empty());
      event("no_repeat").with("why", "budget").write();
      if (running.isEmpty()) {
        giveUp(Refusal.NOT_RUN, REFUSED_RETRY_MS);
      }
      return;
    }
    send(p);
  }

  private boolean mayRepeat() {
    boolean allowed = tools.mayRepeat(service);
    figures().recordRetryDecision(allowed);
    return allowed;
  }

  private void send(PlacementDecision.Placed p) {
    UpstreamRegistration u = p.upstream();
    sends++;
    tried.add(u.id());
    HttpHeaders headers = ForwardedFields.of(request.headers());
    tools.wire().addUpstreamHeaders(headers, left(), u.id());
    var attempt = new Attempt(p.key(), u, now());
    running.add(attempt);
    figures().recordSentAttempt(now() - request.arrivedMs());
    event("sent")
        .with("upstream", u.id())
        .with("address", u.address().toString())
        .with("attempt", sends)
        .with("ask", p.key().sequenceNumber())
        .with("waited_ms", now() - request.arrivedMs())
        .with("left_ms", left())
        .write();
    var outgoing =
        new Outgoing(
            u.connectionPoolKey(),
            u.address(),
            request.method(),
            request.target(),
            headers,
            request.body(),
            this::mine,
            tools.rest(service).maxIdleMs(route.kind().idempotent(), now()));
    attempt.exchange =
        tools.client().send(outgoing, left() + EXCHANGE_SLACK_MS, reply -> ended(attempt, reply));
    if (sends == 1 && route.kind().idempotent() && route.maxAttempts() > 1) {
      hedgeTimer = tools.loop().schedule(this::hedge, hedgeAfter(), TimeUnit.MILLISECONDS);
    }
  }

  private boolean mine(HttpHeaders h) {
    return tools
        .wire()
        .requestId(h)
        .map(id::equals)
        .orElseGet(() -> tools.wire().reportsNotRun(0, h));
  }

  private long hedgeAfter() {
    double usual = tools.workTimes().estimateMs(route.name(), route.latencyObjectiveMs());
    return HedgeDelay.delayMs(usual, onTimeAtMs - now());
  }

  /** Sends the request to a second upstream while the first has not answered. */
  private void hedge() {
    if (!done && asking == null && running.size() == 1 && runs + 1 < route.maxAttempts()) {
      event("hedge").with("after_ms", now() - running.get(0).sinceMs).write();
      ask(true);
    }
  }

  private void ended(Attempt a, Reply reply) {
    running.remove(a);
    Optional<ReportedLoad> load =
        reply instanceof Reply.Answer r ? tools.wire().reportedLoad(r.headers()) : Optional.empty();
    AttemptOutcome end = tools.judge().end(reply);
    report(a.key, a.upstream, end, now() - a.sinceMs, load);
    figures().recordAttemptOutcome(end.label());
    if (reply instanceof Reply.Broken && now() - a.sinceMs <= AT_ONCE_MS && a.exchange != null) {
      tools.rest(service).recordReset(a.exchange.restedMs(), now());
    }
    if (end != AttemptOutcome.UNREACHABLE) {
      arrivals++;
    }
    if (!end.provesNotRun()) {
      runs++;
      mayHaveRun = true;
    }
    if (done) {
      return;
    }
    if (end == AttemptOutcome.ANSWERED && reply instanceof Reply.Answer r) {
      learn(now() - a.sinceMs, load);
      deliver(r, a.upstream);
      return;
    }
    event("attempt_ended")
        .with("upstream", a.upstream.id())
        .with("end", end.name())
        .with("cause", ReplyJudge.cause(reply))
        .with("took_ms", now() - a.sinceMs)
        .write();
    next(end, reply);
  }

  /** Decides what follows an attempt that brought no good answer. */
  private void next(AttemptOutcome end, Reply reply) {
    if (!running.isEmpty() || asking != null) {
      return;
    }
    boolean allowed = end.provesNotRun() || route.kind().idempotent();
    boolean attemptsLeft =
        runs < route.maxAttempts() && sends < route.maxAttempts() + SENDS_BEYOND_ATTEMPTS;
    lastFailure = reply;
    if (allowed && attemptsLeft && left() > LEAST_TIME_MS) {
      ask(false);
      return;
    }
    giveUp(end.provesNotRun() ? Refusal.NOT_RUN : Refusal.NO_ANSWER, REFUSED_RETRY_MS);
  }

  private void learn(long tookMs, Optional<ReportedLoad> load) {
    double pace = load.map(ReportedLoad::slowdown).orElse(1.0);
    tools.workTimes().recordResponse(route.name(), route.latencyObjectiveMs(), tookMs, pace);
  }

  private void deliver(Reply.Answer r, UpstreamRegistration by) {
    finish();
    figures().recordAnsweredRequest(now() - request.arrivedMs());
    event("answered")
        .with("status", r.status())
        .with("upstream", by.id())
        .with(
            "load",
            tools.wire().reportedLoad(r.headers()).map(ReportedLoad::toString).orElse("untold"))
        .with("attempts", sends)
        .with("took_ms", now() - request.arrivedMs())
        .write();
    answer.accept(new CallerAnswer(r.status(), ForwardedFields.of(r.headers()), r.body()));
  }

  private void timeOver() {
    if (done) {
      return;
    }
    boolean sentAny = running.stream().anyMatch(a -> a.exchange != null && a.exchange.sent());
    mayHaveRun |= sentAny;
    abandonAll(AttemptOutcome.TIMED_OUT);
    giveUp(Refusal.LATE, REFUSED_RETRY_MS);
  }

  /** Answers a request that no upstream has served. */
  private void giveUp(Refusal why, long retryAfterMs) {
    finish();
    if (lastFailure instanceof Reply.Answer r && mayHaveRun && tools.judge().passable(r)) {
      event("answered").with("status", r.status()).with("attempts", sends).write();
      figures().recordAnsweredRequest(now() - request.arrivedMs());
      answer.accept(new CallerAnswer(r.status(), ForwardedFields.of(r.headers()), r.body()));
      return;
    }
    Refusal told = told(why);
    figures().recordRefusal(told.label());
    event("refused")
        .with("why", told.label())
        .with("attempts", sends)
        .with("took_ms", now() - request.arrivedMs())
        .with("retry_ms", retryAfterMs)
        .write();
    CallerAnswer a = CallerAnswer.problem(told);
    tools.wire().setRequestId(a.headers(), id);
    answer.accept(mayHaveRun ? a : a.retryAfter(retryAfterMs));
  }

  /** A refusal promises that the request did not run, so it must be true of every attempt. */
  private Refusal told(Refusal why) {
    if (!mayHaveRun) {
      return why == Refusal.LATE || why == Refusal.NO_ANSWER ? Refusal.NO_ROOM : why;
    }
    return why == Refusal.LATE ? Refusal.LATE : Refusal.NO_ANSWER;
  }

  private void finish() {
    done = true;
    stopTimers();
    withdraw();
    // Attempts that are still running end by themselves; only their report is wanted.
  }

  private void abandonAll(AttemptOutcome end) {
    for (Attempt a : List.copyOf(running)) {
      if (a.exchange != null) {
        a.exchange.abandon();
      }
      report(a.key, a.upstream, end, now() - a.sinceMs, Optional.empty());
    }
    running.clear();
  }

  private void withdraw() {
    if (asking != null) {
      tools.placement().cancelPlacement(asking);
      asking = null;
    }
  }

  private void stopTimers() {
    if (endTimer != null) {
      endTimer.cancel(false);
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
    tools.placement().report(service, new AttemptReport(key, u.id(), end, tookMs, load));
  }

  private RouteMetrics figures() {
    return tools.figures().route(route.name());
  }

  private long now() {
    return tools.clock().getAsLong();
  }

  private long left() {
    return endMs - now();
  }

  private EventLine event(String name) {
    return tools.log().event(name).with("id", id).with("route", route.name());
  }

  private static final class Attempt {
    private final PlacementKey key;
    private final UpstreamRegistration upstream;
    private final long sinceMs;
    private @Nullable Exchange exchange;

    Attempt(PlacementKey key, UpstreamRegistration upstream, long sinceMs) {
      this.key = key;
      this.upstream = upstream;
      this.sinceMs = sinceMs;
    }
  }
}
