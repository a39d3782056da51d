package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.observe.PrometheusFormat;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Answers questions for the host's metrics. Confined to the event loop.
 *
 * @param figures what the host has counted
 */
public record MetricsHandler(GatewayMetrics figures) implements RequestHandler {
  private static final String PATH = "/metrics";
  private static final int OK = 200;

  @Override
  public Optional<Cancellable> tryHandle(CallerRequest request, Consumer<CallerResponse> answer) {
    if (!request.target().equals(PATH)) {
      return Optional.empty();
    }
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, PrometheusFormat.CONTENT_TYPE);
    answer.accept(new CallerResponse(OK, h, PrometheusFormat.format(figures)));
    return Optional.of(Cancellable.COMPLETED);
  }
}
