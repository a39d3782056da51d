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
  private final Consumer<ExchangeResult> end;
  private @Nullable Channel channel;
  private @Nullable Future<?> watch;
  private long connectionIdleMs;
  private boolean mayHaveBeenSent;
  private boolean ended;

  Exchange(OutgoingRequest request, Consumer<ExchangeResult> end) {
    this.request = request;
    this.end = end;
  }

  /** Gives up: closes the connection, and tells no end. */
  public void abort() {
    if (finish()) {
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

  void rested(long ms) {
    connectionIdleMs = ms;
  }

  OutgoingRequest request() {
    return request;
  }

  void watch(Future<?> timer) {
    this.watch = timer;
  }

  void attach(Channel ch) {
    this.channel = ch;
  }

  void sending() {
    mayHaveBeenSent = true;
  }

  boolean ended() {
    return ended;
  }

  void late() {
    if (finish()) {
      closeChannel();
      end.accept(
          mayHaveBeenSent
              ? new ExchangeResult.TimedOut()
              : new ExchangeResult.NotSent("no connection in time"));
    }
  }

  void end(ExchangeResult reply) {
    if (finish()) {
      end.accept(reply);
    }
  }

  private boolean finish() {
    if (ended) {
      return false;
    }
    ended = true;
    if (watch != null) {
      watch.cancel(false);
    }
    return true;
  }

  private void closeChannel() {
    if (channel != null) {
      channel.close();
    }
  }
}
