package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.gateway.net.Reply;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import java.util.Set;

/**
 * Tells what an upstream's reply proves. Immutable and thread-safe.
 *
 * @param wire header fields
 */
record ReplyJudge(UpstreamHeaders wire) {
  private static final int MISDIRECTED = 421;
  private static final int SERVER_ERROR = 500;
  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** How the attempt ended that brought the reply. */
  AttemptOutcome end(Reply reply) {
    if (reply instanceof Reply.NotSent) {
      return AttemptOutcome.UNREACHABLE;
    }
    if (reply instanceof Reply.Broken) {
      return AttemptOutcome.BROKEN;
    }
    if (!(reply instanceof Reply.Answer r)) {
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

  /** Tells whether an upstream's own failure can be passed on without promising too much. */
  boolean passable(Reply.Answer r) {
    return wire.isSigned(r.headers()) && !NOT_RUN_STATUSES.contains(r.status());
  }

  /** Says for a log line why a reply is no good answer. */
  static String cause(Reply reply) {
    if (reply instanceof Reply.Answer r) {
      return "status " + r.status();
    }
    if (reply instanceof Reply.NotSent n) {
      return n.cause();
    }
    return reply instanceof Reply.Broken b ? b.cause() : "late";
  }
}
