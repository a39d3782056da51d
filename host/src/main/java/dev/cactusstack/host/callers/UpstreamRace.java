package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.decisions.state.Observation;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.callers.RequestHeads.Passage;
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
final class UpstreamRace {
  private static final int SERVER_ERROR = 500;

  /** A request is late after this many times the usual answer time. */
  private static final double LATE_RATIO = 2.5;

  private static final double MIN_LATE_MS = 2;

  private final HttpServerExchange exchange;
  private final RequestFacts facts;
  private final DataPath path;
  private final RouteScheduler scheduler;
  private final Supplier<Passage> passage;
  private final End end;
  private final List<Runner> running = new ArrayList<>(2);
  private TimerWheel.@Nullable Timer timer;
  private @Nullable Runner winner;
  private boolean possiblyRun;

  /** Takes the end of a race. Called on the exchange's I/O thread. */
  interface End {
    /** The head of the answer that counts has arrived; its body follows to the caller. */
    void answered(ClientResponse response, long waitedNanos);

    /** No attempt is left. */
    void failed(Address upstream, AttemptState state, AttemptEvent cause, String reason);
  }

  UpstreamRace(
      HttpServerExchange exchange,
      RequestFacts facts,
      DataPath path,
      RouteScheduler scheduler,
      Supplier<Passage> passage,
      End end) {
    this.exchange = exchange;
    this.facts = facts;
    this.path = path;
    this.scheduler = scheduler;
    this.passage = passage;
    this.end = end;
  }

  void start(Lease lease) {
    if (facts.isHedgeable()) {
      armTimer(LATE_RATIO * scheduler.usualMs());
    }
    begin(lease);
  }

  private void begin(Lease lease) {
    path.metrics().of(facts.service()).attempted();
    var runner = new Runner(lease);
    running.add(runner);
    runner.attempt.start(facts.idempotent() ? Freshness.ANY : Freshness.PROVED);
  }

  private void armTimer(double ms) {
    double delayMs = Math.max(MIN_LATE_MS, ms);
    timer = path.pools().timers(exchange.getIoThread()).schedule(delayMs, this::late);
  }

  private void late() {
    if (winner != null || running.size() != 1) {
      return;
    }
    Address current = running.get(0).lease.upstream().address();
    Lease second = scheduler.tryAhead(Set.of(current));
    if (second == null) {
      armTimer(scheduler.usualMs() / 8);
    } else if (path.hedges().tryWithdraw()) {
      begin(second);
    } else {
      second.release();
    }
  }

  /** Gives up: the caller has its answer, or has gone. */
  void callerGone() {
    stopTimer();
    for (Runner r : List.copyOf(running)) {
      if (winner == null || r == winner) {
        r.attempt.cancel();
        r.ended();
      }
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** One upstream of the race. */
  private final class Runner implements Attempt.Listener {
    private final Lease lease;
    private final Attempt attempt;

    Runner(Lease lease) {
      this.lease = lease;
      Address to = lease.upstream().address();
      Passage p = passage.get();
      this.attempt =
          new Attempt(
              exchange,
              path.pools(),
              path.ticker(),
              to,
              RequestHeads.toUpstream(exchange, facts, p),
              (int) Math.max(1, p.leftMs()),
              this);
    }

    @Override
    public void answered(ClientResponse response, long waitedNanos) {
      observeAnswer(response, waitedNanos / 1e6);
      if (winner != null) {
        return;
      }
      winner = this;
      stopTimer();
      for (Runner r : running) {
        if (r != this) {
          r.attempt.detach();
        }
      }
      end.answered(response, waitedNanos);
    }

    private void observeAnswer(ClientResponse response, double ms) {
      LoadReport report =
          LoadReport.parse(response.getResponseHeaders().getFirst(CactusHeaders.LOAD));
      switch (report.state()) {
        case LEAVING -> observe(new Observation.ReportedLeaving());
        case COLD -> observe(new Observation.ReportedCold());
        default -> {}
      }
      boolean warm = report.state() == LoadReport.Reported.WARM;
      observe(
          response.getResponseCode() >= SERVER_ERROR
              ? new Observation.ServerError(ms)
              : new Observation.Success(ms, warm));
    }

    @Override
    public void completed() {
      ended();
    }

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      observe(
          switch (cause) {
            case REFUSED -> new Observation.Refusal();
            case TIMED_OUT -> new Observation.Timeout();
            default -> new Observation.ConnectionLost();
          });
      ended();
      possiblyRun |= !state.provesNotRun();
      boolean counts = winner == this || winner == null && running.isEmpty();
      if (counts) {
        stopTimer();
        AttemptState all = possiblyRun && state.provesNotRun() ? AttemptState.POSSIBLY_RUN : state;
        end.failed(lease.upstream().address(), all, cause, reason);
      }
    }

    private void ended() {
      running.remove(this);
      lease.release();
    }

    private void observe(Observation e) {
      lease.upstream().observe(e, path.ticker().millis());
    }
  }
}
