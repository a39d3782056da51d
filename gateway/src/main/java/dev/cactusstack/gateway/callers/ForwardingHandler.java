package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.control.ConfigurationController;
import dev.cactusstack.model.site.RouteRule;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.function.Consumer;

/** Serves requests by the routes in force. Takes every request. Confined to the event loop. */
public final class ForwardingHandler implements RequestHandler {
  private static final long NOT_READY_RETRY_MS = 300;

  private final ConfigurationController configuration;
  private final ForwardingContext tools;

  /**
   * Creates a filter.
   *
   * @param configuration the routes in force
   * @param tools what requests need to run
   */
  public ForwardingHandler(ConfigurationController configuration, ForwardingContext tools) {
    this.configuration = configuration;
    this.tools = tools;
  }

  @Override
  public Optional<Cancellable> tryHandle(CallerRequest request, Consumer<CallerResponse> answer) {
    Optional<String> id = tools.wire().requestId(request.headers());
    if (id.isEmpty()) {
      return refuse(request, "", Refusal.NO_ID, answer);
    }
    if (configuration.activeConfiguration().isEmpty()) {
      return refuse(request, id.get(), Refusal.NOT_READY, answer);
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<RouteRule> route = configuration.routeMatcher().match(host, request.target());
    if (route.isEmpty()) {
      return refuse(request, id.get(), Refusal.NO_ROUTE, answer);
    }
    var run = new ForwardedRequest(tools, request, id.get(), route.get(), answer);
    run.start();
    return Optional.of(run);
  }

  private Optional<Cancellable> refuse(
      CallerRequest request, String id, Refusal why, Consumer<CallerResponse> answer) {
    tools
        .log()
        .event("refused")
        .with("id", id.isEmpty() ? "none" : id)
        .with("why", why.label())
        .with("target", request.target())
        .with("version", configuration.activeConfiguration().map(c -> c.version()).orElse(0L))
        .write();
    CallerResponse a = CallerResponse.problem(why);
    if (!id.isEmpty()) {
      tools.wire().setRequestId(a.headers(), id);
    }
    answer.accept(why == Refusal.NOT_READY ? a.retryAfter(NOT_READY_RETRY_MS) : a);
    return Optional.of(Cancellable.COMPLETED);
  }
}
