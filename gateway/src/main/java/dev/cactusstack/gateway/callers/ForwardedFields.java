package dev.cactusstack.gateway.callers;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which header fields are passed on: all but those of one connection. Stateless. */
final class ForwardedFields {
  private static final Set<String> ONE_CONNECTION =
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

  private ForwardedFields() {}

  static HttpHeaders of(HttpHeaders from) {
    HttpHeaders to = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    Set<String> named = named(from);
    for (Map.Entry<String, String> f : from) {
      String name = f.getKey().toLowerCase(Locale.ROOT);
      if (!ONE_CONNECTION.contains(name) && !named.contains(name)) {
        to.add(f.getKey(), f.getValue());
      }
    }
    return to;
  }

  private static Set<String> named(HttpHeaders from) {
    Set<String> out = new HashSet<>();
    for (String field : from.getAll("connection")) {
      for (String name : field.split(",")) {
        out.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return out;
  }
}
