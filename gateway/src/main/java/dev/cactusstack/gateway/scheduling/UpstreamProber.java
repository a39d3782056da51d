package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.placing.UpstreamNotices;
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
  private final NoticeReader noticeReader;
  private long sentProbeCount;

  /**
   * Creates a prober.
   *
   * @param client the HTTP client for upstreams
   * @param upstreamHeaders reads the header fields of probe responses
   * @param noticeReader reads what upstreams say about themselves
   */
  public UpstreamProber(
      HttpClient client, UpstreamHeaders upstreamHeaders, NoticeReader noticeReader) {
    this.client = client;
    this.upstreamHeaders = upstreamHeaders;
    this.noticeReader = noticeReader;
  }

  /**
   * Returns the number of probes sent so far.
   *
   * @return the count
   */
  public long sentProbeCount() {
    return sentProbeCount;
  }

  /**
   * Probes an upstream, unless it wants no requests from this host or limits them: a probe counts
   * as a request, but is not counted by any scheduler.
   *
   * @param onLoad receives the reported load
   * @param onNotice receives what the upstream says about itself
   */
  void probe(
      UpstreamRegistration upstream,
      String path,
      long nowMs,
      Consumer<ReportedLoad> onLoad,
      Consumer<UpstreamNotice> onNotice) {
    if (noticeReader.notices().permission(upstream, nowMs) != UpstreamNotices.Permission.ALLOWED) {
      return;
    }
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
            onNotice.accept(noticeReader.read(upstream, response, nowMs));
            upstreamHeaders.reportedLoad(response.headers()).ifPresent(onLoad);
          }
        });
  }
}
