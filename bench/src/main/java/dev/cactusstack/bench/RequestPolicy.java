package dev.cactusstack.bench;

import java.util.function.Consumer;

/** A way to bring a planned request to an upstream. Implementations are thread-safe. */
interface RequestPolicy extends AutoCloseable {

  /** Sends a request; {@code done} is called once. */
  void send(Arrival a, Consumer<CallResult> onDone);

  @Override
  default void close() {}
}
