package dev.cactusstack.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;

/** An event loop that runs in virtual time. */
final class VirtualTimeLoop {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMs = 1_000_000;

  VirtualTimeLoop() {
    channel.freezeTime();
  }

  EventLoop loop() {
    return channel.eventLoop();
  }

  long nowMs() {
    return nowMs;
  }

  /** Lets time pass without running anything, as while the process is stopped. */
  void stop(long ms) {
    nowMs += ms;
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
  }

  void run(long ms) {
    for (long end = nowMs + ms; nowMs < end; nowMs += 10) {
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
      channel.runScheduledPendingTasks();
    }
  }
}
