package dev.cactusstack.bench;

import java.util.function.Consumer;

/** Sends planned requests to upstreams. Implementations are thread-safe. */
interface RequestPolicy extends AutoCloseable {

  /** Sends a request; {@code onDone} is called once. */
  void send(Arrival a, Consumer<CallResult> onDone);

  @Override
  default void close() {}
}
