package dev.cactusstack.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.LongConsumer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a request body, counts its bytes and discards them. Confined to the exchange's I/O thread.
 */
final class BodyCounter {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final HttpServerExchange exchange;
  private final LongConsumer onComplete;
  private final Runnable onError;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private long count;

  private BodyCounter(HttpServerExchange exchange, LongConsumer onComplete, Runnable onError) {
    this.exchange = exchange;
    this.onComplete = onComplete;
    this.onError = onError;
  }

  static void count(HttpServerExchange x, LongConsumer onComplete, Runnable onError) {
    StreamSourceChannel source = x.isRequestComplete() ? null : x.getRequestChannel();
    if (source == null) {
      onComplete.accept(0);
      return;
    }
    var counter = new BodyCounter(x, onComplete, onError);
    source.getReadSetter().set(counter::read);
    counter.read(source);
  }

  private void read(StreamSourceChannel source) {
    try {
      for (int n = source.read(buffer); n != -1; n = source.read(buffer)) {
        if (n == 0) {
          source.resumeReads();
          return;
        }
        count += n;
        buffer.clear();
      }
      source.suspendReads();
      onComplete.accept(count);
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
      onError.run();
    }
  }
}
