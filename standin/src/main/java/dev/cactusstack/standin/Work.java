package dev.cactusstack.standin;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One run in progress. When the upstream slows down or recovers, the rest of the work goes on at
 * the new speed, as it would beside a neighbour that takes processor time. Its state is confined to
 * one I/O thread.
 */
final class Work {
  private static final double NANOS_PER_MS = 1e6;

  private final XnioIoThread thread;
  private double leftMs;
  private double slowdown;
  private long sinceNanos;
  private boolean done;
  private XnioExecutor.@Nullable Key timer;
  private Runnable whenDone = () -> {};

  Work(XnioIoThread thread, double workMs, double slowdown) {
    this.thread = thread;
    this.leftMs = workMs;
    this.slowdown = slowdown;
  }

  /** Begins; called on the I/O thread. */
  void start(Runnable onDone) {
    whenDone = onDone;
    sinceNanos = System.nanoTime();
    schedule();
  }

  void changeSpeed(double next) {
    thread.execute(
        () -> {
          if (!done && timer != null) {
            timer.remove();
            long now = System.nanoTime();
            leftMs = Math.max(0, leftMs - (now - sinceNanos) / NANOS_PER_MS / slowdown);
            sinceNanos = now;
            slowdown = next;
            schedule();
          }
        });
  }

  private void schedule() {
    long micros = Math.round(leftMs * slowdown * 1_000);
    timer = thread.executeAfter(this::finish, micros, TimeUnit.MICROSECONDS);
  }

  private void finish() {
    if (!done) {
      done = true;
      whenDone.run();
    }
  }
}
