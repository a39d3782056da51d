package dev.cactusstack.gateway.site;

import io.netty.handler.codec.http.HttpHeaders;
import java.lang.reflect.Proxy;

/** Reads a few short field names in place of the platform's. Other methods are not supported. */
public final class FakeUpstreamHeaders {
  /** Holds the id of the request that a response belongs to. */
  public static final String REQUEST_ID = "id";

  /** Holds the identity of the upstream, in responses to probes. */
  public static final String INSTANCE_ID = "instance";

  /** Marks a response to a request that was not executed. */
  public static final String NOT_EXECUTED = "not-executed";

  /** Marks a signed response. */
  public static final String SIGNED = "signed";

  private FakeUpstreamHeaders() {}

  /**
   * Creates a reader.
   *
   * @return the reader
   */
  public static UpstreamHeaders create() {
    return (UpstreamHeaders)
        Proxy.newProxyInstance(
            UpstreamHeaders.class.getClassLoader(),
            new Class<?>[] {UpstreamHeaders.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "respondedIds" -> ((HttpHeaders) arguments[0]).getAll(REQUEST_ID);
                  case "reportsNotRun" -> ((HttpHeaders) arguments[1]).contains(NOT_EXECUTED);
                  case "isSigned" -> ((HttpHeaders) arguments[0]).contains(SIGNED);
                  case "isProbeResponse" ->
                      arguments[1].equals(((HttpHeaders) arguments[0]).get(INSTANCE_ID))
                          && !((HttpHeaders) arguments[0]).contains(REQUEST_ID);
                  default -> throw new UnsupportedOperationException(method.getName());
                });
  }
}
