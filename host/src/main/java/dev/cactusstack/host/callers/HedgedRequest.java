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
 * A request at an upstream, and, when that one is late and the request may run twice, at a second
 * one. The first answer counts; the other upstream is left to end its work, so that its place is
 * known to be taken until then.
 *
 * <p>Invariant: each lease is released once its upstream has ended the work or the connection to it
 * is closed. Confined to the exchange's I/O thread.
 */
final class HedgedRequest {
  private static final int SERVER_ERROR = 500;

  /** A request is late after this many times the usual answer time. */
  private static final double HEDGE_DELAY_RATIO = 2.5;

  private static final double MIN_HEDGE_DELAY_MS = 2;

  private final HttpServerExchange exchange;
  private final RequestAttributes facts;
  private final DataPathContext path;
  private final RouteScheduler scheduler;
  private final Supplier<AttemptInfo> attemptInfo;
  private final ResultListener resultListener;
  private final List<HedgedAttempt> runningAttempts = new ArrayList<>(2);
  private TimerWheel.@Nullable Timer timer;
  private @Nullable HedgedAttempt winner;
  private boolean mayHaveRun;

  /** Takes the end of a race. Called on the exchange's I/O thread. */
  interface ResultListener {
    /** The head of the answer that counts has arrived; its body follows to the caller. */
    void responseStarted(ClientResponse response, long waitedNanos);

    /** No attempt is left. */
    void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason);
  }

  HedgedRequest(
      HttpServerExchange exchange,
      RequestAttributes facts,
      DataPathContext path,
      RouteScheduler scheduler,
      Supplier<AttemptInfo> passage,
      ResultListener end) {
    this.exchange = exchange;
    this.facts = facts;
    this.path = path;
    this.scheduler = scheduler;
    this.attemptInfo = passage;
    this.resultListener = end;
  }

  void start(Lease lease) {
    if (facts.isHedgeable()) {
      scheduleHedge(HEDGE_DELAY_RATIO * scheduler.typicalResponseMs());
    }
    startAttempt(lease);
  }

  private void startAttempt(Lease lease) {
    path.metrics().forService(facts.service()).recordAttempt();
    var runner = new HedgedAttempt(lease);
    runningAttempts.add(runner);
    runner.attempt.start(facts.idempotent() ? Freshness.ANY : Freshness.RECENTLY_USED);
  }

  private void scheduleHedge(double ms) {
    double delayMs = Math.max(MIN_HEDGE_DELAY_MS, ms);
    timer = path.pools().timers(exchange.getIoThread()).schedule(delayMs, this::tryHedge);
  }

  private void tryHedge() {
    if (winner != null || runningAttempts.size() != 1) {
      return;
    }
    Address current = runningAttempts.get(0).lease.upstream().address();
    Lease second = scheduler.tryAcquireAheadOfQueue(Set.of(current));
    if (second == null) {
      scheduleHedge(scheduler.typicalResponseMs() / 8);
    } else if (path.hedges().tryWithdraw()) {
      startAttempt(second);
    } else {
      second.release();
    }
  }

  /** Gives up: the caller has its answer, or has gone. */
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

  /** One upstream of the race. */
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
              path.pools(),
              path.ticker(),
              to,
              OutgoingRequests.toUpstream(exchange, facts, p),
              (int) Math.max(1, p.remainingMs()),
              this);
    }

    @Override
    public void responseStarted(ClientResponse response, long waitedNanos) {
      recordResponse(response, waitedNanos / 1e6);
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
      resultListener.responseStarted(response, waitedNanos);
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
      boolean counts = winner == this || winner == null && runningAttempts.isEmpty();
      if (counts) {
        stopTimer();
        AttemptState all = mayHaveRun && state.provesNotRun() ? AttemptState.POSSIBLY_RUN : state;
        resultListener.failed(lease.upstream().address(), all, cause, reason);
      }
    }

    private void finishAttempt() {
      runningAttempts.remove(this);
      lease.release();
    }

    private void observe(Observation e) {
      lease.upstream().observe(e, path.ticker().millis());
    }
  }
}
