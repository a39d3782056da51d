package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * One wait for a lease. Ends once: granted, refused, timed out or given up.
 *
 * <p>Thread-safe; the callbacks run on the request's I/O thread.
 */
final class LeaseWait implements Waiter {
  private final XnioIoThread thread;
  private final Set<Address> avoided;
  private final Consumer<Lease> granted;
  private final Consumer<Problem> refused;
  private final AtomicBoolean ended = new AtomicBoolean();
  private TimerWheel.@Nullable Timer timer;

  LeaseWait(
      XnioIoThread thread,
      Set<Address> avoided,
      Consumer<Lease> granted,
      Consumer<Problem> refused) {
    this.thread = thread;
    this.avoided = Set.copyOf(avoided);
    this.granted = granted;
    this.refused = refused;
  }

  /** Joins a scheduler's queue for a limited time. Called on the request's I/O thread. */
  void start(RouteScheduler scheduler, TimerWheel timers, long timeoutMs, Problem atTimeout) {
    timer = timers.schedule(timeoutMs, () -> refuse(atTimeout));
    scheduler.submit(this);
  }

  /** Stops waiting without a callback. */
  void giveUp() {
    ended.set(true);
    stopTimer();
  }

  @Override
  public Set<Address> avoided() {
    return avoided;
  }

  @Override
  public boolean isWaiting() {
    return !ended.get();
  }

  @Override
  public boolean grant(Lease lease) {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    onThread(() -> granted.accept(lease));
    return true;
  }

  @Override
  public void refuse(Problem problem) {
    if (ended.compareAndSet(false, true)) {
      onThread(() -> refused.accept(problem));
    }
  }

  private void onThread(Runnable r) {
    Runnable stopAndRun =
        () -> {
          stopTimer();
          r.run();
        };
    if (Thread.currentThread() == thread) {
      stopAndRun.run();
    } else {
      thread.execute(stopAndRun);
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }
}
