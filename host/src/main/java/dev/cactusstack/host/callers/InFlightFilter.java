package dev.cactusstack.host.callers;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts requests whose response is not yet complete. While draining, requests are still served,
 * but their connections are closed afterwards. Thread-safe.
 */
final class InFlightFilter implements HttpHandler {
  private final HttpHandler next;
  private final AtomicInteger count = new AtomicInteger();
  private volatile boolean draining;

  InFlightFilter(HttpHandler next) {
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange x) throws Exception {
    count.incrementAndGet();
    x.addExchangeCompleteListener(
        (ended, after) -> {
          count.decrementAndGet();
          after.proceed();
        });
    if (draining) {
      x.setPersistent(false);
    }
    next.handleRequest(x);
  }

  void beginDrain() {
    draining = true;
  }

  int count() {
    return count.get();
  }
}
