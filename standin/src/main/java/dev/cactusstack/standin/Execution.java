package dev.cactusstack.standin;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * An execution of a request in progress. When the upstream slows down or recovers, the remaining
 * work continues at the new speed, as it does when another process on the machine competes for
 * processor time. Its state is confined to one I/O thread.
 */
final class Execution {
  private static final double NANOS_PER_MS = 1e6;

  private final XnioIoThread ioThread;
  private double remainingMs;
  private double slowdown;
  private long lastUpdateNanos;
  private boolean done;
  private XnioExecutor.@Nullable Key timer;
  private Runnable completionCallback = () -> {};

  Execution(XnioIoThread ioThread, double serviceMs, double slowdown) {
    this.ioThread = ioThread;
    this.remainingMs = serviceMs;
    this.slowdown = slowdown;
  }

  /** Starts the execution; called on the I/O thread. */
  void start(Runnable onCompletion) {
    completionCallback = onCompletion;
    lastUpdateNanos = System.nanoTime();
    schedule();
  }

  void setSlowdown(double newSlowdown) {
    ioThread.execute(
        () -> {
          if (!done && timer != null) {
            timer.remove();
            long now = System.nanoTime();
            remainingMs =
                Math.max(0, remainingMs - (now - lastUpdateNanos) / NANOS_PER_MS / slowdown);
            lastUpdateNanos = now;
            slowdown = newSlowdown;
            schedule();
          }
        });
  }

  private void schedule() {
    long micros = Math.round(remainingMs * slowdown * 1_000);
    timer = ioThread.executeAfter(this::finish, micros, TimeUnit.MICROSECONDS);
  }

  private void finish() {
    if (!done) {
      done = true;
      completionCallback.run();
    }
  }
}
