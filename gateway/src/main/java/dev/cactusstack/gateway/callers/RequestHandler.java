package dev.cactusstack.gateway.callers;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A link of the chain that a request passes. The first filter that takes a request answers it.
 *
 * <p>Called on the event loop only.
 */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Takes a request, or passes it on.
   *
   * @param request the request
   * @param answer receives the answer, once, now or later on the event loop
   * @return what runs for the request, or nothing when the next filter is to see it
   */
  Optional<Cancellable> tryHandle(CallerRequest request, Consumer<CallerResponse> answer);

  /** A request that was taken. */
  @FunctionalInterface
  interface Cancellable {
    /** A request whose answer is given already. */
    Cancellable COMPLETED = () -> {};

    /** Stops it, because the caller has left; no answer is wanted any more. */
    void cancel();
  }
}
