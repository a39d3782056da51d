package dev.cactusstack.gateway.net;

import io.netty.channel.Channel;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A request that was sent to a server, until its result.
 *
 * <p>Invariant: the result is delivered at most once. Confined to the event loop.
 */
public final class Exchange {
  private final OutgoingRequest request;
  private final Consumer<ExchangeResult> complete;
  private @Nullable Channel channel;
  private @Nullable Future<?> setTimeoutTimer;
  private long connectionIdleMs;
  private int skippedResponses;
  private int firstSkippedStatus;
  private boolean mayHaveBeenSent;
  private boolean hasEnded;

  Exchange(OutgoingRequest request, Consumer<ExchangeResult> end) {
    this.request = request;
    this.complete = end;
  }

  /** Aborts the exchange: closes the connection and delivers no result. */
  public void abort() {
    if (markEnded()) {
      closeChannel();
    }
  }

  /**
   * Checks whether a part of the request may have left this host.
   *
   * @return false while nothing was written
   */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /**
   * Returns how long the connection of the request had been idle.
   *
   * @return milliseconds, 0 for a new connection
   */
  public long connectionIdleMs() {
    return connectionIdleMs;
  }

  /**
   * Counts the responses that arrived during the exchange and were skipped, because they were not
   * taken for the response to its request.
   *
   * @return the count
   */
  public int skippedResponses() {
    return skippedResponses;
  }

  /**
   * Returns the status of the first skipped response.
   *
   * @return the status, 0 if none was skipped
   */
  public int firstSkippedStatus() {
    return firstSkippedStatus;
  }

  void recordSkippedResponse(int status) {
    firstSkippedStatus = skippedResponses == 0 ? status : firstSkippedStatus;
    skippedResponses++;
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
      complete.accept(
          mayHaveBeenSent
              ? new ExchangeResult.TimedOut()
              : new ExchangeResult.NotSent("no connection in time"));
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
