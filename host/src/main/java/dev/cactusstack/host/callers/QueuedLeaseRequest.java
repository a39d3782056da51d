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
final class QueuedLeaseRequest implements LeaseRequest {
  private final XnioIoThread thread;
  private final Set<Address> avoided;
  private final Consumer<Lease> onGranted;
  private final Consumer<Problem> onRejected;
  private final AtomicBoolean ended = new AtomicBoolean();
  private TimerWheel.@Nullable Timer timer;

  QueuedLeaseRequest(
      XnioIoThread thread,
      Set<Address> avoided,
      Consumer<Lease> granted,
      Consumer<Problem> refused) {
    this.thread = thread;
    this.avoided = Set.copyOf(avoided);
    this.onGranted = granted;
    this.onRejected = refused;
  }

  /** Joins a scheduler's queue for a limited time. Called on the request's I/O thread. */
  void start(RouteScheduler scheduler, TimerWheel timers, long timeoutMs, Problem atTimeout) {
    timer = timers.schedule(timeoutMs, () -> reject(atTimeout));
    scheduler.submit(this);
  }

  /** Stops waiting without a callback. */
  void abandon() {
    ended.set(true);
    stopTimer();
  }

  @Override
  public Set<Address> avoided() {
    return avoided;
  }

  @Override
  public boolean isPending() {
    return !ended.get();
  }

  @Override
  public boolean grant(Lease lease) {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    runOnThread(() -> onGranted.accept(lease));
    return true;
  }

  @Override
  public void reject(Problem problem) {
    if (ended.compareAndSet(false, true)) {
      runOnThread(() -> onRejected.accept(problem));
    }
  }

  private void runOnThread(Runnable r) {
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
