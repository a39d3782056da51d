package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.observe.Figures;
import dev.cactusstack.gateway.observe.FiguresText;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Serves the host's metrics. Confined to the event loop.
 *
 * @param figures the host's metrics
 */
public record MetricsHandler(Figures figures) implements RequestHandler {
  private static final String PATH = "/metrics";
  private static final int OK = 200;

  @Override
  public Optional<Cancellable> tryHandle(
      CallerRequest request, Consumer<CallerResponse> responseConsumer) {
    if (!request.target().equals(PATH)) {
      return Optional.empty();
    }
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, FiguresText.CONTENT_TYPE);
    responseConsumer.accept(new CallerResponse(OK, h, FiguresText.of(figures)));
    return Optional.of(Cancellable.COMPLETED);
  }
}
