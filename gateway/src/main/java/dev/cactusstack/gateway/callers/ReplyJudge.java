package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.site.UpstreamWire;
import java.util.Set;

/**
 * Tells what an upstream's reply proves. Immutable and thread-safe.
 *
 * @param wire header fields
 */
record ReplyJudge(UpstreamWire wire) {
  private static final int MISDIRECTED = 421;
  private static final int SERVER_ERROR = 500;
  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** How the attempt ended that brought the reply. */
  AttemptOutcome end(ExchangeResult reply) {
    if (reply instanceof ExchangeResult.NotSent) {
      return AttemptOutcome.UNREACHABLE;
    }
    if (reply instanceof ExchangeResult.Incomplete) {
      return AttemptOutcome.BROKEN;
    }
    if (!(reply instanceof ExchangeResult.Response r)) {
      return AttemptOutcome.TIMED_OUT;
    }
    if (wire.notRun(r.status(), r.headers())) {
      return r.status() == MISDIRECTED ? AttemptOutcome.WRONG_INSTANCE : AttemptOutcome.REFUSED;
    }
    boolean success = r.status() >= SUCCESS && r.status() < REDIRECT;
    if (success && !wire.signed(r.headers())) {
      return AttemptOutcome.BROKEN;
    }
    return r.status() >= SERVER_ERROR ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
  }

  /** Tells whether an upstream's own failure can be passed on without promising too much. */
  boolean passable(ExchangeResult.Response r) {
    return wire.signed(r.headers()) && !NOT_RUN_STATUSES.contains(r.status());
  }

  /** Says for a log line why a reply is no good answer. */
  static String cause(ExchangeResult reply) {
    if (reply instanceof ExchangeResult.Response r) {
      return "status " + r.status();
    }
    if (reply instanceof ExchangeResult.NotSent n) {
      return n.cause();
    }
    return reply instanceof ExchangeResult.Incomplete b ? b.cause() : "late";
  }
}
