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
  private final Outgoing request;
  private final Consumer<Reply> end;
  private @Nullable Channel channel;
  private @Nullable Future<?> watch;
  private long restedMs;
  private boolean sent;
  private boolean ended;

  Exchange(Outgoing request, Consumer<Reply> end) {
    this.request = request;
    this.end = end;
  }

  /** Gives up: closes the connection, and tells no end. */
  public void abandon() {
    if (finish()) {
      closeChannel();
    }
  }

  /**
   * Tells whether a part of the request may have left this host.
   *
   * @return false while nothing was written
   */
  public boolean sent() {
    return sent;
  }

  /**
   * Tells how long the connection that carries the request had not been used.
   *
   * @return milliseconds, 0 for a new connection
   */
  public long restedMs() {
    return restedMs;
  }

  void rested(long ms) {
    restedMs = ms;
  }

  Outgoing request() {
    return request;
  }

  void watch(Future<?> timer) {
    this.watch = timer;
  }

  void attach(Channel ch) {
    this.channel = ch;
  }

  void sending() {
    sent = true;
  }

  boolean ended() {
    return ended;
  }

  void late() {
    if (finish()) {
      closeChannel();
      end.accept(sent ? new Reply.Late() : new Reply.NotSent("no connection in time"));
    }
  }

  void end(Reply reply) {
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
