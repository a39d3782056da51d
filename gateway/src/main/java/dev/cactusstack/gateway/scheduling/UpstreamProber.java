package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.OutgoingRequest;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Consumer;

/** Asks upstreams for their load, outside any request. Confined to the event loop. */
public final class UpstreamProber {
  private static final long TIMEOUT_MS = 300;

  private final HttpClient client;
  private final UpstreamHeaders wire;
  private long sentProbeCount;

  /**
   * Creates a prober.
   *
   * @param client connections to upstreams
   * @param wire header fields
   */
  public UpstreamProber(HttpClient client, UpstreamHeaders wire) {
    this.client = client;
    this.wire = wire;
  }

  /**
   * Counts the probes sent so far.
   *
   * @return the count
   */
  public long sentProbeCount() {
    return sentProbeCount;
  }

  void probe(UpstreamRegistration u, String path, Consumer<ReportedLoad> figures) {
    sentProbeCount++;
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.HOST, u.address().toString());
    var request =
        new OutgoingRequest(
            u.connectionPoolKey(),
            u.address(),
            HttpMethod.GET,
            path,
            headers,
            new byte[0],
            h -> wire.isProbeResponse(h, u.id()),
            Long.MAX_VALUE);
    client.send(
        request,
        TIMEOUT_MS,
        reply -> {
          if (reply instanceof ExchangeResult.Response a) {
            wire.reportedLoad(a.headers()).ifPresent(figures);
          }
        });
  }
}
