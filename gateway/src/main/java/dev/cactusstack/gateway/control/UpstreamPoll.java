package dev.cactusstack.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Polls the registrations at short intervals for some time after each use. Confined to the event
 * loop.
 */
final class UpstreamPoll {
  /** Time between two polls, in milliseconds. */
  static final long INTERVAL_MS = 700;

  private static final long POLL_AFTER_USE_MS = 4_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Runnable read;
  private long lastUsedAtMs = NEVER;
  private boolean scheduled;

  /**
   * Creates a poll that is idle until the first use.
   *
   * @param loop the event loop that polls are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param read reads the registrations
   */
  UpstreamPoll(EventLoop loop, LongSupplier clock, Runnable read) {
    this.loop = loop;
    this.clock = clock;
    this.read = read;
  }

  /** Records that the registrations are used now, and polls for some time. */
  void recordUse() {
    lastUsedAtMs = clock.getAsLong();
    schedule();
  }

  /**
   * Returns whether the registrations have lately been used.
   *
   * @return true while they are polled
   */
  boolean isActive() {
    return clock.getAsLong() - lastUsedAtMs < POLL_AFTER_USE_MS;
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::poll, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void poll() {
    scheduled = false;
    if (isActive()) {
      read.run();
      schedule();
    }
  }
}
