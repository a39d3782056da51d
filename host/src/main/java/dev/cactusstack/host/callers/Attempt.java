package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.Channels;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One attempt to run a request at an upstream or at another host, with both bodies streamed.
 *
 * <p>Invariants: the listener is notified of completion or failure exactly once; a connection
 * returns to its pool only after request and response were transferred completely, and is closed
 * otherwise. Confined to the exchange's I/O thread.
 */
final class Attempt {
  private final HttpServerExchange exchange;
  private final XnioIoThread thread;
  private final ConnectionPools pools;
  private final Ticker ticker;
  private final Address destination;
  private final ClientRequest request;
  private final int responseTimeoutMs;
  private final Listener listener;
  private final ByteBufferPool buffers;
  private AttemptState state = AttemptState.NOT_SENT;
  private @Nullable ClientConnection connection;
  private TimerWheel.@Nullable Timer timer;
  private boolean requestBodySent;
  private boolean ended;
  private boolean detached;
  private long sentAtNanos;
  private long lastProgressNanos;
  private @Nullable BodyPump requestBodyPump;
  private @Nullable BodyPump responseBodyPump;

  /** Receives the events of an attempt. Called on the exchange's I/O thread. */
  interface Listener {
    /**
     * The head of the response has arrived; the body is forwarded unless the attempt is detached.
     *
     * @param response the head
     * @param elapsedNanos from sending the request to now
     */
    void responseStarted(ClientResponse response, long elapsedNanos);

    /** The response reports that the request did not run; a call of {@code failed} follows. */
    default void refused(ClientResponse response) {}

    /** The response has arrived completely. */
    void completed();

    /** The attempt has failed. */
    void failed(AttemptState state, AttemptEvent cause, String reason);
  }

  Attempt(
      HttpServerExchange exchange,
      ConnectionPools pools,
      Ticker ticker,
      Address to,
      ClientRequest request,
      int answerTimeoutMs,
      Listener listener) {
    this.exchange = exchange;
    this.thread = exchange.getIoThread();
    this.pools = pools;
    this.ticker = ticker;
    this.destination = to;
    this.request = request;
    this.responseTimeoutMs = answerTimeoutMs;
    this.listener = listener;
    this.buffers = exchange.getConnection().getByteBufferPool();
  }

  void start(Freshness freshness) {
    pools.acquire(
        thread,
        destination,
        freshness,
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection c) {
            send(c);
          }

          @Override
          public void failed(IOException e) {
            fail(AttemptEvent.CONNECT_FAILED, e);
          }
        });
  }

  /**
   * Discards the response but lets the attempt continue: the response is read and dropped, so that
   * the listener is notified when the upstream has finished its work.
   */
  void detach() {
    detached = true;
  }

  /** Cancels the attempt, unless it has ended, because its response is no longer needed. */
  void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    stop();
    IoUtils.safeClose(connection);
  }

  private void send(ClientConnection c) {
    connection = c;
    if (ended) {
      IoUtils.safeClose(c);
      return;
    }
    state = state.after(AttemptEvent.SEND_STARTED);
    sentAtNanos = ticker.nanos();
    lastProgressNanos = sentAtNanos;
    scheduleProgressCheck(responseTimeoutMs);
    c.sendRequest(
        request,
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange x) {
            x.setResponseListener(new ResponseHeadCallback());
            sendBody(x.getRequestChannel());
          }

          @Override
          public void failed(IOException e) {
            fail(AttemptEvent.CONNECTION_LOST, e);
          }
        });
  }

  private void sendBody(StreamSinkChannel sink) {
    if (exchange.isRequestComplete()) {
      finishRequestBody(sink);
      return;
    }
    StreamSourceChannel source = exchange.getRequestChannel();
    if (source == null) {
      finishRequestBody(sink);
      return;
    }
    requestBodyPump =
        BodyPump.start(
            source,
            sink,
            buffers,
            new TransferListener() {
              @Override
              public void ended(StreamSinkChannel ch) {
                finishRequestBody(ch);
              }

              @Override
              public void readFailed(IOException e) {
                requestBodyFailed(e);
              }
            });
  }

  /** The behaviour that the transfers of both bodies share. */
  private abstract class TransferListener implements BodyPump.Listener {
    @Override
    public void bytesMoved() {
      lastProgressNanos = ticker.nanos();
    }

    @Override
    public void writeFailed(IOException e) {
      fail(AttemptEvent.CONNECTION_LOST, e);
    }

    @Override
    public void readFailed(IOException e) {
      fail(AttemptEvent.CONNECTION_LOST, e);
    }
  }

  private void finishRequestBody(StreamSinkChannel sink) {
    try {
      sink.shutdownWrites();
      lastProgressNanos = ticker.nanos();
      if (sink.flush()) {
        sink.suspendWrites();
        requestBodySent = true;
        return;
      }
      ChannelListener<StreamSinkChannel> flushed =
          ch -> {
            ch.suspendWrites();
            requestBodySent = true;
          };
      sink.getWriteSetter()
          .set(
              ChannelListeners.flushingChannelListener(
                  flushed, (ch, e) -> fail(AttemptEvent.CONNECTION_LOST, e)));
      sink.resumeWrites();
    } catch (IOException e) {
      fail(AttemptEvent.CONNECTION_LOST, e);
    }
  }

  private void requestBodyFailed(IOException e) {
    cancel();
    listener.failed(
        state, AttemptEvent.CONNECTION_LOST, "reading the request body failed: " + e.getMessage());
  }

  /** Receives the head of the response. */
  private final class ResponseHeadCallback implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange x) {
      onResponseHead(x);
    }

    @Override
    public void failed(IOException e) {
      fail(AttemptEvent.CONNECTION_LOST, e);
    }
  }

  private void onResponseHead(ClientExchange x) {
    if (ended) {
      return;
    }
    lastProgressNanos = ticker.nanos();
    ClientResponse response = x.getResponse();
    if (!ResponseChecks.isFinalStatus(response)) {
      int status = response.getResponseCode();
      fail(
          AttemptEvent.CONNECTION_LOST,
          new IOException("status " + status + " is not that of a response"));
      return;
    }
    if (ResponseChecks.reportsNotRun(response)) {
      listener.refused(response);
      fail(AttemptEvent.REFUSED, new IOException(ResponseChecks.refusalReason(response)));
      return;
    }
    String fault = ResponseChecks.framingError(request.getMethod(), response);
    if (!fault.isEmpty()) {
      fail(AttemptEvent.CONNECTION_LOST, new IOException(fault));
      return;
    }
    state = state.after(AttemptEvent.RESPONSE_STARTED);
    listener.responseStarted(response, ticker.nanos() - sentAtNanos);
    if (detached) {
      discardBody(x.getResponseChannel());
      return;
    }
    responseBodyPump =
        BodyPump.start(
            x.getResponseChannel(),
            exchange.getResponseChannel(),
            buffers,
            new TransferListener() {
              @Override
              public void ended(StreamSinkChannel ch) {
                finishResponse(ch);
              }
            });
  }

  private void discardBody(StreamSourceChannel source) {
    try {
      for (long n = Channels.drain(source, Long.MAX_VALUE);
          n != -1;
          n = Channels.drain(source, Long.MAX_VALUE)) {
        if (n == 0) {
          source.getReadSetter().set(this::discardBody);
          source.resumeReads();
          return;
        }
      }
      source.suspendReads();
      ended = true;
      stop();
      thread.execute(this::releaseConnection);
      listener.completed();
    } catch (IOException e) {
      fail(AttemptEvent.CONNECTION_LOST, e);
    }
  }

  private void finishResponse(StreamSinkChannel sink) {
    if (ended) {
      return;
    }
    ended = true;
    stop();
    flushToCaller(sink);
    // The client library is still processing this response; the connection may be reused only after
    // that has finished.
    thread.execute(this::releaseConnection);
    listener.completed();
  }

  private void releaseConnection() {
    // A response that arrives before the request body was sent leaves the connection unusable.
    if (connection != null && requestBodySent) {
      pools.release(thread, destination, connection);
    } else {
      IoUtils.safeClose(connection);
    }
  }

  private void flushToCaller(StreamSinkChannel sink) {
    try {
      sink.shutdownWrites();
      if (!sink.flush()) {
        // Limits how long a caller that does not read its response can hold the connection.
        TimerWheel.Timer limit =
            pools
                .timers(thread)
                .schedule(responseTimeoutMs, () -> IoUtils.safeClose(exchange.getConnection()));
        sink.getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    ch -> {
                      limit.cancel();
                      ch.suspendWrites();
                    },
                    (ch, e) -> {
                      limit.cancel();
                      IoUtils.safeClose(exchange.getConnection());
                    }));
        sink.resumeWrites();
      }
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private void scheduleProgressCheck(double delayMs) {
    timer = pools.timers(thread).schedule(delayMs, this::checkProgress);
  }

  /**
   * Fails the attempt when neither body has made progress, and no response head arrived, within the
   * timeout.
   */
  private void checkProgress() {
    double remainingMs = responseTimeoutMs - (ticker.nanos() - lastProgressNanos) / 1e6;
    if (remainingMs > 0) {
      scheduleProgressCheck(remainingMs);
    } else {
      fail(AttemptEvent.TIMED_OUT, new IOException("no progress for " + responseTimeoutMs + " ms"));
    }
  }

  private void fail(AttemptEvent cause, IOException e) {
    if (ended) {
      return;
    }
    cancel();
    state = state.after(cause);
    listener.failed(state, cause, String.valueOf(e.getMessage()));
  }

  private void stop() {
    if (timer != null) {
      timer.cancel();
    }
    if (requestBodyPump != null) {
      requestBodyPump.stop();
    }
    if (responseBodyPump != null) {
      responseBodyPump.stop();
    }
  }
}
