package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import java.util.Set;

/**
 * Determines the outcome of an attempt from the result of its exchange. Immutable and thread-safe.
 *
 * @param wire reads the header fields of upstreams
 */
record AttemptClassifier(UpstreamHeaders wire) {
  private static final int MISDIRECTED = 421;
  private static final int SERVER_ERROR = 500;
  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** Returns the outcome of the attempt that had the given result. */
  AttemptOutcome classify(ExchangeResult result) {
    if (result instanceof ExchangeResult.NotSent) {
      return AttemptOutcome.UNREACHABLE;
    }
    if (result instanceof ExchangeResult.Incomplete
        || result instanceof ExchangeResult.Unattributed) {
      return AttemptOutcome.BROKEN;
    }
    if (!(result instanceof ExchangeResult.Response r)) {
      return AttemptOutcome.TIMED_OUT;
    }
    if (wire.reportsNotRun(r.status(), r.headers())) {
      return r.status() == MISDIRECTED ? AttemptOutcome.WRONG_INSTANCE : AttemptOutcome.REFUSED;
    }
    boolean success = r.status() >= SUCCESS && r.status() < REDIRECT;
    if (success && !wire.isSigned(r.headers())) {
      return AttemptOutcome.BROKEN;
    }
    return r.status() >= SERVER_ERROR ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
  }

  /**
   * Checks whether an upstream's error response may be forwarded: it must not claim that the
   * request was not executed.
   */
  boolean isForwardable(ExchangeResult.Response r) {
    return wire.isSigned(r.headers()) && !NOT_RUN_STATUSES.contains(r.status());
  }

  /** Describes for a log line why a result is not a usable response. */
  static String cause(ExchangeResult result) {
    if (result instanceof ExchangeResult.Response r) {
      return "status " + r.status();
    }
    if (result instanceof ExchangeResult.NotSent n) {
      return n.cause();
    }
    if (result instanceof ExchangeResult.Unattributed u) {
      return "status " + u.status() + " of an unknown request";
    }
    return result instanceof ExchangeResult.Incomplete b ? b.cause() : "late";
  }
}
