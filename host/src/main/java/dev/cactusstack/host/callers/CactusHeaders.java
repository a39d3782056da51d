package dev.cactusstack.host.callers;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** The header fields of the system, and the rules for passing fields on. Stateless. */
final class CactusHeaders {
  static final HttpString OUTCOME = new HttpString("Cactusstack-Outcome");
  static final HttpString FORWARDED = new HttpString("Cactusstack-Forwarded");
  static final HttpString LOAD = new HttpString("Cactusstack-Load");
  static final HttpString ROUTE_LOAD = new HttpString("Cactusstack-Route-Load");

  /** On a request that was passed on: answer at once rather than let it wait. */
  static final HttpString MAY_REFUSE = new HttpString("Cactusstack-May-Refuse");

  /** How long the caller still waits, in milliseconds; shrinks on the way down. */
  static final HttpString DEADLINE = new HttpString("Cactusstack-Deadline-Ms");

  /** Marks a repeated request, so that hosts further down do not repeat it again. */
  static final HttpString RETRY = new HttpString("Cactusstack-Retry");

  static final HttpString DATA_CENTRE = new HttpString("Cactusstack-Data-Centre");
  static final HttpString FORWARDED_FOR = new HttpString("X-Forwarded-For");
  static final String OUTCOME_NOT_RUN = Outcome.NOT_RUN.label();

  private static final String PREFIX = "cactusstack-";
  private static final Set<HttpString> HOP_BY_HOP =
      Set.of(
          Headers.CONNECTION,
          Headers.KEEP_ALIVE,
          new HttpString("Proxy-Connection"),
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          Headers.TE,
          Headers.TRAILER,
          Headers.TRANSFER_ENCODING,
          Headers.UPGRADE);

  private CactusHeaders() {}

  /**
   * Copies the end-to-end fields. Leaves out hop-by-hop fields (RFC 9110, section 7.6.1), those
   * that {@code Connection} names, and the system's own.
   */
  static void copyEndToEnd(HeaderMap from, HeaderMap to) {
    Set<HttpString> named = connectionOptions(from);
    for (HeaderValues v : from) {
      HttpString name = v.getHeaderName();
      boolean passed = !HOP_BY_HOP.contains(name) && !named.contains(name) && !isSystemHeader(name);
      if (passed) {
        to.putAll(name, v);
      }
    }
  }

  private static Set<HttpString> connectionOptions(HeaderMap headers) {
    HeaderValues connection = headers.get(Headers.CONNECTION);
    if (connection == null) {
      return Set.of();
    }
    Set<HttpString> names = new HashSet<>();
    for (String value : connection) {
      for (String name : value.split(",")) {
        names.add(new HttpString(name.trim()));
      }
    }
    // These delimit the message; a caller cannot have them removed.
    names.remove(Headers.CONTENT_LENGTH);
    names.remove(Headers.HOST);
    return names;
  }

  private static boolean isSystemHeader(HttpString name) {
    // Nearly all names are told apart by two letters, without a copy.
    return name.length() > PREFIX.length()
        && (name.byteAt(0) | 0x20) == PREFIX.charAt(0)
        && (name.byteAt(2) | 0x20) == PREFIX.charAt(2)
        && name.toString().toLowerCase(Locale.ROOT).startsWith(PREFIX);
  }
}
