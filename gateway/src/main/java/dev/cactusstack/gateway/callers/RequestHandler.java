package dev.cactusstack.gateway.callers;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A handler in the chain that each request passes through. The first handler that accepts a request
 * responds to it.
 *
 * <p>Called on the event loop only.
 */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Handles a request, or leaves it to the next handler.
   *
   * @param request the request
   * @param responseConsumer receives the response exactly once, during this call or later on the
   *     event loop
   * @return the request being handled, or empty to leave it to the next handler
   */
  Optional<Cancellable> tryHandle(CallerRequest request, Consumer<CallerResponse> responseConsumer);

  /** A request being handled, which can be cancelled. */
  @FunctionalInterface
  interface Cancellable {
    /** A request that has its response already; cancelling it has no effect. */
    Cancellable COMPLETED = () -> {};

    /** Cancels the request, because the caller has disconnected and needs no response. */
    void cancel();
  }
}
