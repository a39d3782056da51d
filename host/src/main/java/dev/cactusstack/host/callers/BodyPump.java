package dev.cactusstack.host.callers;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Moves a body from one channel to another as fast as the slower one goes, through one pooled
 * buffer that it holds only while there are bytes to write.
 *
 * <p>Invariant: the listener is told of exactly one end. Confined to the channels' I/O thread.
 */
final class BodyPump {
  private final StreamSourceChannel source;
  private final StreamSinkChannel sink;
  private final ByteBufferPool pool;
  private final Listener listener;
  private @Nullable PooledByteBuffer pooled;
  private boolean ended;

  /** Follows a transfer. */
  interface Listener {
    /** Some bytes have moved. */
    void bytesMoved();

    /** All bytes have been written; the sink is not yet shut down. */
    void ended(StreamSinkChannel sink);

    /** The source failed, or ended before its announced length. */
    void readFailed(IOException e);

    /** The sink failed. */
    void writeFailed(IOException e);
  }

  private BodyPump(
      StreamSourceChannel source, StreamSinkChannel sink, ByteBufferPool pool, Listener listener) {
    this.source = source;
    this.sink = sink;
    this.pool = pool;
    this.listener = listener;
  }

  static BodyPump start(
      StreamSourceChannel source, StreamSinkChannel sink, ByteBufferPool pool, Listener listener) {
    var pump = new BodyPump(source, sink, pool, listener);
    source.getReadSetter().set(ch -> pump.transfer());
    sink.getWriteSetter().set(ch -> pump.transfer());
    pump.transfer();
    return pump;
  }

  /** Stops moving and gives the buffer back; the channels are left to the caller. */
  void stop() {
    ended = true;
    releaseBuffer();
  }

  private void transfer() {
    while (!ended) {
      if (!writePending() || !readMore()) {
        return;
      }
    }
  }

  /** Writes what has been read; returns false when it has to wait. */
  private boolean writePending() {
    PooledByteBuffer p = pooled;
    if (p == null) {
      return true;
    }
    ByteBuffer b = p.getBuffer();
    try {
      while (b.hasRemaining()) {
        if (sink.write(b) == 0) {
          source.suspendReads();
          sink.resumeWrites();
          return false;
        }
        listener.bytesMoved();
      }
    } catch (IOException e) {
      stop();
      listener.writeFailed(e);
      return false;
    }
    b.clear();
    return true;
  }

  /** Reads once; returns false when there is nothing to write now. */
  private boolean readMore() {
    PooledByteBuffer p = pooled == null ? pool.allocate() : pooled;
    pooled = p;
    ByteBuffer b = p.getBuffer();
    int n;
    try {
      n = source.read(b);
    } catch (IOException e) {
      stop();
      listener.readFailed(e);
      return false;
    }
    if (n > 0) {
      b.flip();
      listener.bytesMoved();
      return true;
    }
    releaseBuffer();
    if (n == 0) {
      sink.suspendWrites();
      source.resumeReads();
      return false;
    }
    ended = true;
    source.suspendReads();
    sink.suspendWrites();
    listener.ended(sink);
    return false;
  }

  private void releaseBuffer() {
    if (pooled != null) {
      pooled.close();
      pooled = null;
    }
  }
}
