package dev.cactusstack.bench;

import java.util.function.Consumer;

/** A way to bring a planned request to an upstream. Implementations are thread-safe. */
interface Policy extends AutoCloseable {

  /** Sends a request; {@code done} is called once. */
  void send(Arrival a, Consumer<CallResult> done);

  @Override
  default void close() {}
}
