package dev.cactusstack.host.callers;

import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.settings.CallerListenerSettings;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * Refuses requests whose end or meaning another server could read differently (RFC 9112, sections 3
 * and 6.3), and those over the size limits. Stateless and thread-safe.
 */
final class FramingFilter implements HttpHandler {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

  private final CallerListenerSettings settings;
  private final HttpHandler next;

  FramingFilter(CallerListenerSettings settings, HttpHandler next) {
    this.settings = settings;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange x) throws Exception {
    Optional<Problem> fault = findProblem(x);
    if (fault.isPresent()) {
      x.setPersistent(false);
      ProblemResponses.send(x, fault.get(), Outcome.NOT_RUN);
      return;
    }
    next.handleRequest(x);
  }

  private Optional<Problem> findProblem(HttpServerExchange x) {
    HeaderMap h = x.getRequestHeaders();
    int size = x.getRequestURI().length() + x.getQueryString().length();
    for (HeaderValues v : h) {
      if (!isToken(v.getHeaderName())) {
        return invalid(
            "the header name '"
                + printable(v.getHeaderName().toString())
                + "' has bytes that are not allowed");
      }
      for (String value : v) {
        if (!isFieldValue(value)) {
          return invalid("the header " + v.getHeaderName() + " has bytes that are not allowed");
        }
        size += v.getHeaderName().length() + value.length() + 4;
      }
    }
    if (size > settings.maxHeaderBytes()) {
      return Optional.of(
          new Problem(
              ProblemKind.HEADERS_TOO_LARGE,
              "the header section has about "
                  + size
                  + " bytes; at most "
                  + settings.maxHeaderBytes()
                  + " are accepted",
              "send smaller headers, or raise callers.max_header_bytes"));
    }
    return ambiguousLength(h).or(() -> badHost(h)).or(() -> tooLarge(h));
  }

  private static Optional<Problem> ambiguousLength(HeaderMap h) {
    HeaderValues length = h.get(Headers.CONTENT_LENGTH);
    HeaderValues encoding = h.get(Headers.TRANSFER_ENCODING);
    if (length != null && encoding != null) {
      return invalid("the request has both Content-Length and Transfer-Encoding");
    }
    if (length != null && (length.size() != 1 || !isLength(length.getFirst()))) {
      return invalid("Content-Length is not one whole number");
    }
    if (encoding != null
        && (encoding.size() != 1 || !encoding.getFirst().equalsIgnoreCase("chunked"))) {
      return invalid("Transfer-Encoding is not 'chunked'");
    }
    return Optional.empty();
  }

  private static Optional<Problem> badHost(HeaderMap h) {
    return h.count(Headers.HOST) > 1
        ? invalid("the request has several Host fields")
        : Optional.empty();
  }

  private Optional<Problem> tooLarge(HeaderMap h) {
    String length = h.getFirst(Headers.CONTENT_LENGTH);
    if (length == null || Long.parseLong(length) <= settings.maxBodyBytes()) {
      return Optional.empty();
    }
    return Optional.of(
        new Problem(
            ProblemKind.BODY_TOO_LARGE,
            "the body has "
                + length
                + " bytes; at most "
                + settings.maxBodyBytes()
                + " are accepted",
            "send a smaller body, or raise callers.max_body_bytes"));
  }

  private static Optional<Problem> invalid(String message) {
    return Optional.of(Problem.invalid(message, "send a request that follows RFC 9112"));
  }

  private static boolean isLength(String s) {
    return !s.isEmpty() && s.length() <= 18 && s.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static boolean isToken(HttpString name) {
    for (int i = 0; i < name.length(); i++) {
      int c = name.byteAt(i) & 0xff;
      boolean alphanumeric = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
      if (!alphanumeric && TOKEN_PUNCTUATION.indexOf(c) < 0) {
        return false;
      }
    }
    return name.length() > 0;
  }

  private static boolean isFieldValue(String v) {
    for (int i = 0; i < v.length(); i++) {
      char c = v.charAt(i);
      if (c < ' ' && c != '\t' || c == 0x7f) {
        return false;
      }
    }
    return true;
  }

  private static String printable(String s) {
    return s.replaceAll("[^ -~]", "?");
  }
}
