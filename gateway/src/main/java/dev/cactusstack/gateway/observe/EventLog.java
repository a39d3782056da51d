package dev.cactusstack.gateway.observe;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes one line of {@code key=value} pairs for each event.
 *
 * <p>Lines go through a bounded ring to a thread that writes them in batches; when the ring is
 * full, lines are dropped and counted, so that a slow reader never delays a request. Thread-safe.
 */
public final class EventLog implements AutoCloseable {
  private static final int RING_LINES = 2_048;
  private static final long FLUSH_INTERVAL_NANOS = 200_000_000;

  private final RingBuffer<Slot> ring = RingBuffer.createMultiProducer(Slot::new, RING_LINES);
  private final EventPoller<Slot> poller = ring.newPoller();
  private final AtomicLong droppedSinceFlush = new AtomicLong();
  private final OutputStream out;
  private final StringBuilder batch = new StringBuilder();
  private volatile long droppedTotal;
  private volatile boolean closed;

  /**
   * Creates a log.
   *
   * @param out where lines go
   */
  public EventLog(OutputStream out) {
    this.out = out;
    ring.addGatingSequences(poller.getSequence());
  }

  /**
   * Creates a log that writes to standard output, and starts its thread.
   *
   * @return the log
   */
  public static EventLog standardOutput() {
    var log = new EventLog(new FileOutputStream(FileDescriptor.out));
    var writer = new Thread(log::flushUntilClosed, "log");
    writer.setDaemon(true);
    writer.start();
    return log;
  }

  /**
   * Starts a line.
   *
   * @param event what happened, one word
   * @return the line; nothing is written before {@link EventLine#write}
   */
  public EventLine event(String event) {
    return new EventLine(this, event);
  }

  /**
   * Counts the lines that were dropped.
   *
   * @return the count, as of the last time that lines were written
   */
  public long droppedSinceFlush() {
    return droppedTotal;
  }

  /** Offers a finished line. */
  void enqueue(String line) {
    long time = System.currentTimeMillis();
    if (!ring.tryPublishEvent((slot, sequence) -> slot.set(time, line))) {
      droppedSinceFlush.incrementAndGet();
    }
  }

  /** Writes what lies in the ring. Called by one thread at a time. */
  public synchronized void flush() {
    try {
      poller.poll(this::append);
      long newlyDropped = droppedSinceFlush.getAndSet(0);
      droppedTotal += newlyDropped;
      if (newlyDropped > 0) {
        batch
            .append("time=")
            .append(Instant.now())
            .append(" event=log_dropped lines=")
            .append(newlyDropped)
            .append(" remedy=\"read standard output faster\"\n");
      }
      if (batch.length() > 0) {
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        batch.setLength(0);
      }
    } catch (IOException e) {
      // Nobody reads standard output any more; there is nowhere left to say so.
      batch.setLength(0);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean append(Slot slot, long sequence, boolean endOfBatch) {
    batch.append("time=").append(Instant.ofEpochMilli(slot.time)).append(slot.line).append('\n');
    slot.line = "";
    return true;
  }

  private void flushUntilClosed() {
    while (!closed) {
      flush();
      LockSupport.parkNanos(FLUSH_INTERVAL_NANOS);
    }
  }

  @Override
  public void close() {
    closed = true;
    flush();
  }

  private static final class Slot {
    private long time;
    private String line = "";

    void set(long time, String line) {
      this.time = time;
      this.line = line;
    }
  }
}
