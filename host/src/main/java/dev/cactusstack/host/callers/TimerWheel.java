package dev.cactusstack.host.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * Coarse timers of one I/O thread: a hashed timing wheel (Varghese and Lauck, 1987), in which a
 * timer costs two list operations and no lock. A timer runs up to two ticks late.
 *
 * <p>Invariant: the wheel turns only while it holds timers. Confined to its thread.
 */
final class TimerWheel {
  static final long TICK_MS = 2;
  private static final int BUCKETS = 1_024;

  private final XnioIoThread thread;
  private final Timer[] buckets = new Timer[BUCKETS];
  private int position;
  private int count;
  private boolean advancing;

  /**
   * A scheduled task; also the head of a bucket's circular list. Confined to the wheel's thread.
   */
  static final class Timer {
    private @Nullable Runnable task;
    private @Nullable TimerWheel wheel;
    private Timer previous = this;
    private Timer next = this;
    private long rounds;

    /** Takes the timer out, unless it has run. */
    void cancel() {
      TimerWheel w = wheel;
      if (w != null) {
        wheel = null;
        task = null;
        unlink();
        w.count--;
      }
    }

    private void unlink() {
      previous.next = next;
      next.previous = previous;
      previous = this;
      next = this;
    }
  }

  TimerWheel(XnioIoThread thread) {
    this.thread = thread;
    for (int i = 0; i < BUCKETS; i++) {
      buckets[i] = new Timer();
    }
  }

  Timer schedule(double delayMs, Runnable task) {
    long ticks = Math.max(1, (long) Math.ceil(delayMs / TICK_MS));
    var t = new Timer();
    t.task = task;
    t.wheel = this;
    t.rounds = (ticks - 1) / BUCKETS;
    Timer head = buckets[(int) ((position + ticks) % BUCKETS)];
    t.previous = head.previous;
    t.next = head;
    head.previous.next = t;
    head.previous = t;
    count++;
    if (!advancing) {
      advancing = true;
      scheduleAdvance();
    }
    return t;
  }

  private void scheduleAdvance() {
    try {
      thread.executeAfter(this::advance, TICK_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The thread is shutting down, and closes every connection that a timer guards.
      advancing = false;
    }
  }

  private void advance() {
    position = (position + 1) % BUCKETS;
    expired(buckets[position]).forEach(TimerWheel::fire);
    advancing = count > 0;
    if (advancing) {
      scheduleAdvance();
    }
  }

  /** Takes no timer out yet: a task that runs may cancel those after it. */
  private static List<Timer> expired(Timer head) {
    List<Timer> expired = List.of();
    for (Timer t = head.next; t != head; t = t.next) {
      if (t.rounds > 0) {
        t.rounds--;
        continue;
      }
      if (expired.isEmpty()) {
        expired = new ArrayList<>();
      }
      expired.add(t);
    }
    return expired;
  }

  private static void fire(Timer t) {
    Runnable task = t.task;
    t.cancel();
    if (task != null) {
      task.run();
    }
  }
}
