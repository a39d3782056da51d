package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.OutgoingRequest;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Consumer;

/** Probes upstreams for their current load. Confined to the event loop. */
public final class UpstreamProber {
  private static final long PROBE_TIMEOUT_MS = 300;

  private final HttpClient client;
  private final UpstreamHeaders upstreamHeaders;
  private long sentProbeCount;

  /**
   * Creates a prober.
   *
   * @param client the HTTP client for upstreams
   * @param upstreamHeaders reads the header fields of probe responses
   */
  public UpstreamProber(HttpClient client, UpstreamHeaders upstreamHeaders) {
    this.client = client;
    this.upstreamHeaders = upstreamHeaders;
  }

  /**
   * Returns the number of probes sent so far.
   *
   * @return the count
   */
  public long sentProbeCount() {
    return sentProbeCount;
  }

  void probe(UpstreamRegistration upstream, String path, Consumer<ReportedLoad> onLoad) {
    sentProbeCount++;
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.HOST, upstream.address().toString());
    var request =
        new OutgoingRequest(
            upstream.connectionPoolKey(),
            upstream.address(),
            HttpMethod.GET,
            path,
            headers,
            new byte[0],
            (responseHeaders, newConnection) ->
                upstreamHeaders.isProbeResponse(responseHeaders, upstream.id()),
            Long.MAX_VALUE);
    client.send(
        request,
        PROBE_TIMEOUT_MS,
        reply -> {
          if (reply instanceof ExchangeResult.Response response) {
            upstreamHeaders.reportedLoad(response.headers()).ifPresent(onLoad);
          }
        });
  }
}
