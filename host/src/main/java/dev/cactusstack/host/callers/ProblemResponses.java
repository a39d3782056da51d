package dev.cactusstack.host.callers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.ServiceName;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Writes answers that the system makes itself, in the form of RFC 9457. Stateless. */
final class ProblemResponses {
  private ProblemResponses() {}

  /** Describes a request whose last attempt failed. */
  static Problem ofFailedAttempt(
      ServiceName service, AttemptEvent cause, String reason, Outcome outcome) {
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
    return new Problem(kind, "an upstream of " + service + " failed: " + reason, remedy);
  }

  static void send(HttpServerExchange x, Problem p, Outcome outcome) {
    send(x, p, outcome, h -> {});
  }

  static void send(
      HttpServerExchange x, Problem p, Outcome outcome, Consumer<HeaderMap> moreHeaders) {
    if (x.isResponseStarted()) {
      return;
    }
    x.setStatusCode(p.kind().status());
    x.getResponseHeaders().clear();
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    x.getResponseHeaders().put(CactusHeaders.OUTCOME, outcome.label());
    moreHeaders.accept(x.getResponseHeaders());
    if (p.kind() == ProblemKind.OVERLOADED) {
      x.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
    }
    // An unread body would have to be drained before the connection could serve another request.
    if (!x.isRequestComplete()) {
      x.setPersistent(false);
    }
    ObjectNode n =
        Json.newObject()
            .put("type", "about:blank")
            .put("title", p.message())
            .put("status", p.kind().status())
            .put("kind", p.kind().label())
            .put("remedy", p.remedy())
            .put("outcome", outcome.label());
    x.getResponseSender().send(ByteBuffer.wrap(Json.toBytes(n)));
  }
}
