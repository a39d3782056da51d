package dev.cactusstack.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a response body of a given size as fast as the client reads it. Confined to one I/O
 * thread.
 */
final class GeneratedBody {
  private static final int BLOCK_BYTES = 16 * 1024;

  private final HttpServerExchange exchange;
  private final long closeAtRemainingBytes;
  private long remainingBytes;
  private ByteBuffer block = ByteBuffer.allocate(0);

  private GeneratedBody(HttpServerExchange exchange, long bytes, boolean truncate) {
    this.exchange = exchange;
    this.remainingBytes = bytes;
    this.closeAtRemainingBytes = truncate ? bytes / 2 : -1;
  }

  static void send(HttpServerExchange x, long bytes, boolean truncate) {
    x.getResponseHeaders().put(Headers.CONTENT_LENGTH, bytes);
    var body = new GeneratedBody(x, bytes, truncate);
    StreamSinkChannel sink = x.getResponseChannel();
    sink.getWriteSetter().set(body::write);
    body.write(sink);
  }

  private void write(StreamSinkChannel sink) {
    try {
      while (remainingBytes > 0 || block.hasRemaining()) {
        if (!block.hasRemaining()) {
          int n = (int) Math.min(BLOCK_BYTES, remainingBytes);
          block = ByteBuffer.allocate(n);
          remainingBytes -= n;
        }
        if (sink.write(block) == 0) {
          sink.resumeWrites();
          return;
        }
        if (remainingBytes <= closeAtRemainingBytes) {
          IoUtils.safeClose(exchange.getConnection());
          return;
        }
      }
      sink.suspendWrites();
      exchange.endExchange();
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
