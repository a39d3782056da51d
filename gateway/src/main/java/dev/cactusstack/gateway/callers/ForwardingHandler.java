package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.control.ConfigurationController;
import dev.cactusstack.gateway.observe.WorkspaceMetrics;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.Workspace;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Forwards requests to upstreams according to the routes in force. Handles every request. Confined
 * to the event loop.
 */
public final class ForwardingHandler implements RequestHandler {
  private static final long NOT_READY_RETRY_MS = 300;

  /** Longer than a read of the store as a rule, which the refusal has caused. */
  private static final long KEY_UNCHECKED_RETRY_MS = 300;

  private final ConfigurationController configuration;
  private final ForwardingContext context;

  /**
   * Creates a handler.
   *
   * @param configuration the routes in force
   * @param context what forwarded requests share
   */
  public ForwardingHandler(ConfigurationController configuration, ForwardingContext context) {
    this.configuration = configuration;
    this.context = context;
  }

  @Override
  public Optional<Cancellable> tryHandle(
      CallerRequest request, Consumer<CallerResponse> responseConsumer) {
    Optional<String> id = context.wire().requestId(request.headers());
    if (id.isEmpty()) {
      return refuse(request, "", Refusal.NO_ID, responseConsumer);
    }
    if (configuration.activeConfiguration().isEmpty()) {
      return refuse(request, id.get(), Refusal.NOT_READY, responseConsumer);
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<RouteRule> route = configuration.routeMatcher().match(host, request.target());
    if (route.isEmpty() || route.get().isClosed()) {
      return refuse(request, id.get(), Refusal.NO_ROUTE, responseConsumer);
    }
    CallerAuthentication.Verdict verdict =
        context.authentication().check(route.get(), request.headers());
    if (!verdict.allowed()) {
      return refuseKey(
          request, id.get(), context.authentication().unknownKeyRefusal(), responseConsumer);
    }
    verdict
        .workspace()
        .map(Workspace::name)
        .ifPresent(context.figures().workspaces()::recordRequest);
    var forwarded =
        new ForwardedRequest(
            context, request, id.get(), route.get(), verdict.workspace(), responseConsumer);
    forwarded.start();
    return Optional.of(forwarded);
  }

  private Optional<Cancellable> refuseKey(
      CallerRequest request,
      String id,
      Refusal refusal,
      Consumer<CallerResponse> responseConsumer) {
    WorkspaceMetrics figures = context.figures().workspaces();
    figures.recordRequest(WorkspaceMetrics.NO_WORKSPACE);
    figures.recordOutcome(WorkspaceMetrics.NO_WORKSPACE, refusal.label());
    return refuse(request, id, refusal, responseConsumer);
  }

  private Optional<Cancellable> refuse(
      CallerRequest request,
      String id,
      Refusal refusal,
      Consumer<CallerResponse> responseConsumer) {
    context
        .log()
        .event("refused")
        .with("id", id.isEmpty() ? "none" : id)
        .with("why", refusal.label())
        .with("target", request.target())
        .with("version", configuration.activeConfiguration().map(c -> c.version()).orElse(0L))
        .write();
    CallerResponse a = CallerResponse.problem(refusal);
    if (!id.isEmpty()) {
      context.wire().setRequestId(a.headers(), id);
    }
    responseConsumer.accept(withRetryAfter(a, refusal));
    return Optional.of(Cancellable.COMPLETED);
  }

  private static CallerResponse withRetryAfter(CallerResponse response, Refusal refusal) {
    return switch (refusal) {
      case NOT_READY -> response.retryAfter(NOT_READY_RETRY_MS);
      case KEY_UNCHECKED -> response.retryAfter(KEY_UNCHECKED_RETRY_MS);
      default -> response;
    };
  }
}
