package dev.cactusstack.gateway.net;

import io.netty.channel.Channel;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A request on its way and its answer.
 *
 * <p>Invariant: the end is told once. Confined to the event loop.
 */
public final class Exchange {
  private final OutgoingRequest request;
  private final Consumer<ExchangeResult> complete;
  private @Nullable Channel channel;
  private @Nullable Future<?> setTimeoutTimer;
  private long connectionIdleMs;
  private boolean mayHaveBeenSent;
  private boolean hasEnded;

  Exchange(OutgoingRequest request, Consumer<ExchangeResult> end) {
    this.request = request;
    this.complete = end;
  }

  /** Gives up: closes the connection, and tells no end. */
  public void abort() {
    if (markEnded()) {
      closeChannel();
    }
  }

  /**
   * Tells whether a part of the request may have left this host.
   *
   * @return false while nothing was written
   */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /**
   * Tells how long the connection that carries the request had not been used.
   *
   * @return milliseconds, 0 for a new connection
   */
  public long connectionIdleMs() {
    return connectionIdleMs;
  }

  void setConnectionIdleMs(long ms) {
    connectionIdleMs = ms;
  }

  OutgoingRequest request() {
    return request;
  }

  void setTimeoutTimer(Future<?> timer) {
    this.setTimeoutTimer = timer;
  }

  void attach(Channel newChannel) {
    this.channel = newChannel;
  }

  void markSending() {
    mayHaveBeenSent = true;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  void timeOut() {
    if (markEnded()) {
      closeChannel();
      complete.accept(mayHaveBeenSent ? new ExchangeResult.TimedOut() : new ExchangeResult.NotSent("no connection in time"));
    }
  }

  void complete(ExchangeResult result) {
    if (markEnded()) {
      complete.accept(result);
    }
  }

  private boolean markEnded() {
    if (hasEnded) {
      return false;
    }
    hasEnded = true;
    if (setTimeoutTimer != null) {
      setTimeoutTimer.cancel(false);
    }
    return true;
  }

  private void closeChannel() {
    if (channel != null) {
      channel.close();
    }
  }
}
