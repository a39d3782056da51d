package dev.cactusstack.gateway.callers;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which header fields are passed on: all but those of one connection. Stateless. */
final class EndToEndHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private EndToEndHeaders() {}

  static HttpHeaders extract(HttpHeaders from) {
    HttpHeaders to = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    Set<String> connectionOptionNames = connectionOptions(from);
    for (Map.Entry<String, String> f : from) {
      String name = f.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !connectionOptionNames.contains(name)) {
        to.add(f.getKey(), f.getValue());
      }
    }
    return to;
  }

  private static Set<String> connectionOptions(HttpHeaders from) {
    Set<String> options = new HashSet<>();
    for (String field : from.getAll("connection")) {
      for (String name : field.split(",")) {
        options.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return options;
  }
}
