package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.decisions.state.Observation;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.callers.OutgoingRequests.AttemptInfo;
import dev.cactusstack.model.Address;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs a request at an upstream and, when that one is slow and the request is safe to run twice,
 * also at a second one. The first response is used. The other attempt is not cancelled, so that its
 * lease is held until the upstream has finished the work.
 *
 * <p>Invariant: each lease is released once its upstream has finished the work or the connection to
 * it is closed. Confined to the exchange's I/O thread.
 */
final class HedgedRequest {
  private static final int SERVER_ERROR = 500;

  /** A second attempt is started after this multiple of the typical response time. */
  private static final double HEDGE_DELAY_RATIO = 2.5;

  private static final double MIN_HEDGE_DELAY_MS = 2;

  private final HttpServerExchange exchange;
  private final RequestAttributes attributes;
  private final DataPathContext context;
  private final RouteScheduler scheduler;
  private final Supplier<AttemptInfo> attemptInfo;
  private final ResultListener resultListener;
  private final List<HedgedAttempt> runningAttempts = new ArrayList<>(2);
  private TimerWheel.@Nullable Timer timer;
  private @Nullable HedgedAttempt winner;
  private boolean mayHaveRun;

  /** Receives the result. Called on the exchange's I/O thread. */
  interface ResultListener {
    /** The head of the first response has arrived; its body is forwarded to the caller. */
    void responseStarted(ClientResponse response, long elapsedNanos);

    /** All attempts have failed. */
    void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason);
  }

  HedgedRequest(
      HttpServerExchange exchange,
      RequestAttributes attributes,
      DataPathContext context,
      RouteScheduler scheduler,
      Supplier<AttemptInfo> passage,
      ResultListener end) {
    this.exchange = exchange;
    this.attributes = attributes;
    this.context = context;
    this.scheduler = scheduler;
    this.attemptInfo = passage;
    this.resultListener = end;
  }

  void start(Lease lease) {
    if (attributes.isHedgeable()) {
      scheduleHedge(HEDGE_DELAY_RATIO * scheduler.typicalResponseMs());
    }
    startAttempt(lease);
  }

  private void startAttempt(Lease lease) {
    context.metrics().forService(attributes.service()).recordAttempt();
    var hedged = new HedgedAttempt(lease);
    runningAttempts.add(hedged);
    hedged.attempt.start(attributes.idempotent() ? Freshness.ANY : Freshness.RECENTLY_USED);
  }

  private void scheduleHedge(double ms) {
    double delayMs = Math.max(MIN_HEDGE_DELAY_MS, ms);
    timer = context.pools().timers(exchange.getIoThread()).schedule(delayMs, this::tryHedge);
  }

  private void tryHedge() {
    if (winner != null || runningAttempts.size() != 1) {
      return;
    }
    Address current = runningAttempts.get(0).lease.upstream().address();
    Lease second = scheduler.tryAcquireAheadOfQueue(Set.of(current));
    if (second == null) {
      scheduleHedge(scheduler.typicalResponseMs() / 8);
    } else if (context.hedges().tryWithdraw()) {
      startAttempt(second);
    } else {
      second.release();
    }
  }

  /** Stops, because the caller has received its response or has disconnected. */
  void callerFinished() {
    stopTimer();
    for (HedgedAttempt r : List.copyOf(runningAttempts)) {
      if (winner == null || r == winner) {
        r.attempt.cancel();
        r.finishAttempt();
      }
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** One attempt at one upstream. */
  private final class HedgedAttempt implements Attempt.Listener {
    private final Lease lease;
    private final Attempt attempt;

    HedgedAttempt(Lease lease) {
      this.lease = lease;
      Address to = lease.upstream().address();
      AttemptInfo p = attemptInfo.get();
      this.attempt =
          new Attempt(
              exchange,
              context.pools(),
              context.ticker(),
              to,
              OutgoingRequests.toUpstream(exchange, attributes, p),
              (int) Math.max(1, p.remainingMs()),
              this);
    }

    @Override
    public void responseStarted(ClientResponse response, long elapsedNanos) {
      recordResponse(response, elapsedNanos / 1e6);
      if (winner != null) {
        return;
      }
      winner = this;
      stopTimer();
      for (HedgedAttempt r : runningAttempts) {
        if (r != this) {
          r.attempt.detach();
        }
      }
      resultListener.responseStarted(response, elapsedNanos);
    }

    private void recordResponse(ClientResponse response, double ms) {
      LoadReport report =
          LoadReport.parse(response.getResponseHeaders().getFirst(CactusHeaders.LOAD));
      switch (report.state()) {
        case LEAVING -> observe(new Observation.ReportedLeaving());
        case COLD -> observe(new Observation.ReportedCold());
        default -> {}
      }
      boolean warm = report.state() == LoadReport.ReportedState.WARM;
      observe(
          response.getResponseCode() >= SERVER_ERROR
              ? new Observation.ServerError(ms)
              : new Observation.Success(ms, warm));
    }

    @Override
    public void completed() {
      finishAttempt();
    }

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      observe(
          switch (cause) {
            case REFUSED -> new Observation.Refusal();
            case TIMED_OUT -> new Observation.Timeout();
            default -> new Observation.ConnectionLost();
          });
      finishAttempt();
      mayHaveRun |= !state.provesNotRun();
      boolean endsRequest = winner == this || winner == null && runningAttempts.isEmpty();
      if (endsRequest) {
        stopTimer();
        AttemptState combinedState =
            mayHaveRun && state.provesNotRun() ? AttemptState.POSSIBLY_RUN : state;
        resultListener.failed(lease.upstream().address(), combinedState, cause, reason);
      }
    }

    private void finishAttempt() {
      runningAttempts.remove(this);
      lease.release();
    }

    private void observe(Observation e) {
      lease.upstream().observe(e, context.ticker().millis());
    }
  }
}
