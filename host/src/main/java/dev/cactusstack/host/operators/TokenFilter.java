package dev.cactusstack.host.operators;

import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.settings.OperatorListenerSettings;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Admits requests with the operators' token. Changes must be JSON, which a page of another site
 * cannot send without the browser's consent check. Thread-safe.
 */
final class TokenFilter implements HttpHandler {
  private static final String SCHEME = "Bearer ";

  private final Optional<String> token;
  private final HttpHandler next;

  TokenFilter(Optional<String> token, HttpHandler next) {
    this.token = token;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange x) throws Exception {
    if (!isAuthorised(x)) {
      x.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
      JsonResponses.problem(
          x,
          new Problem(
              ProblemKind.NOT_AUTHORISED,
              "the request carries no valid operators' token",
              "set the variable "
                  + OperatorListenerSettings.TOKEN_VARIABLE
                  + ", or enter the token on the page"));
      return;
    }
    boolean changes = x.getRequestMethod().equals(Methods.POST);
    String type = x.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
    if (changes && (type == null || !type.startsWith("application/json"))) {
      JsonResponses.problem(
          x, Problem.invalid("a change is not JSON", "send Content-Type: application/json"));
      return;
    }
    next.handleRequest(x);
  }

  private boolean isAuthorised(HttpServerExchange x) {
    if (token.isEmpty()) {
      return true;
    }
    String given = x.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    return given != null
        && given.startsWith(SCHEME)
        && MessageDigest.isEqual(
            given.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8),
            token.get().getBytes(StandardCharsets.UTF_8));
  }
}
