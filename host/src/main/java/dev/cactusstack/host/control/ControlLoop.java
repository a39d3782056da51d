package dev.cactusstack.host.control;

import com.google.common.flogger.FluentLogger;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.Ticker;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs the tasks of all controllers of a host, one at a time, and ticks them.
 *
 * <p>Invariant: tasks and ticks run on one thread. {@link #execute} and {@link #offer} are
 * thread-safe.
 */
public final class ControlLoop implements Executor, AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int RING_BUFFER_SIZE = 4_096;
  private static final long TICK_INTERVAL_MS = 50;

  private final Ticker ticker;
  private final Disruptor<TaskEvent> disruptor;
  private final List<Runnable> tickTasks = new CopyOnWriteArrayList<>();
  private long nextTickAtMs;

  /** A place of the ring. Written by one producer, then read by the loop. */
  private static final class TaskEvent {
    private @Nullable Runnable task;
  }

  /**
   * Creates a loop that is not yet running.
   *
   * @param name names the thread
   * @param ticker the clock
   */
  public ControlLoop(String name, Ticker ticker) {
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.disruptor =
        new Disruptor<>(
            TaskEvent::new,
            RING_BUFFER_SIZE,
            r -> daemon(r, "control-" + name),
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS));
    disruptor.handleEventsWith(new TaskHandler());
  }

  private static Thread daemon(Runnable r, String name) {
    var t = new Thread(r, name);
    t.setDaemon(true);
    return t;
  }

  /** Starts the loop's thread. */
  public void start() {
    disruptor.start();
  }

  /**
   * Adds a task that runs about every 50 ms.
   *
   * @param tick the task
   */
  public void addTickTask(Runnable tick) {
    tickTasks.add(Objects.requireNonNull(tick, "tick is null"));
  }

  @Override
  public void execute(Runnable task) {
    Objects.requireNonNull(task, "task is null");
    disruptor.publishEvent((slot, sequence) -> slot.task = task);
  }

  /**
   * Runs a task unless the ring is full.
   *
   * @param task the task
   * @return false when it was dropped
   */
  public boolean tryExecute(Runnable task) {
    Objects.requireNonNull(task, "task is null");
    return disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.task = task);
  }

  /**
   * Computes a value on the loop.
   *
   * @param supplier computes it
   * @param <T> its type
   * @return the value, later
   */
  public <T> CompletableFuture<T> compute(Supplier<T> supplier) {
    return CompletableFuture.supplyAsync(supplier, this);
  }

  @Override
  public void close() {
    disruptor.halt();
  }

  private void tickIfDue() {
    long now = ticker.millis();
    if (now < nextTickAtMs) {
      return;
    }
    nextTickAtMs = now + TICK_INTERVAL_MS;
    tickTasks.forEach(this::runSafely);
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atSevere().withCause(e).log("%s", Event.named("control_task_failed"));
    }
  }

  /** Receives the ring's events. Runs on the loop's thread. */
  private final class TaskHandler implements EventHandler<TaskEvent> {
    @Override
    public void onEvent(TaskEvent slot, long sequence, boolean endOfBatch) {
      Runnable task = slot.task;
      slot.task = null;
      if (task != null) {
        runSafely(task);
      }
      tickIfDue();
    }

    @Override
    public void onTimeout(long sequence) {
      tickIfDue();
    }
  }
}
