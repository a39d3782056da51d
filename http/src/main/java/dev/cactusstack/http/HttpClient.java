package dev.cactusstack.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.ssl.XnioSsl;

/**
 * Sends control requests, one connection each.
 *
 * <p>Invariant: each returned future completes within the call's timeout, with the whole answer or
 * with an {@link HttpException}. Thread-safe.
 */
public final class HttpClient {
  private static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final OptionMap OPTIONS = OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);

  private final XnioWorker worker;
  private final ByteBufferPool pool;
  private final @Nullable XnioSsl ssl;

  /**
   * Creates a caller.
   *
   * @param worker supplies the threads that perform input and output
   * @param tls the trust to use for {@code https} targets, if any are called
   */
  public HttpClient(XnioWorker worker, Optional<SSLContext> tls) {
    this.worker = Objects.requireNonNull(worker, "worker is null");
    this.pool = new DefaultByteBufferPool(true, BUFFER_BYTES, 32, 2);
    this.ssl = tls.map(c -> new UndertowXnioSsl(worker.getXnio(), OptionMap.EMPTY, c)).orElse(null);
  }

  /**
   * Sends a request.
   *
   * @param call the request
   * @return the answer, or an {@link HttpException}
   */
  public CompletableFuture<HttpResponse> send(HttpRequest call) {
    Objects.requireNonNull(call, "call is null");
    XnioIoThread thread = worker.getIoThread();
    var pending = new Pending(call);
    pending.timer =
        thread.executeAfter(pending::timedOut, call.timeout().toMillis(), TimeUnit.MILLISECONDS);
    // Some failures to connect are thrown rather than passed to the callback.
    try {
      UndertowClient.getInstance().connect(pending, call.uri(), thread, ssl, pool, OPTIONS);
    } catch (RuntimeException e) {
      pending.failed(new IOException(e));
    }
    return pending.result;
  }

  /** The progress of one call. Confined to one I/O thread, except for {@code result}. */
  private static final class Pending implements ClientCallback<ClientConnection> {
    private final HttpRequest call;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.@Nullable Key timer;
    private @Nullable ClientConnection connection;
    private volatile boolean sent;

    Pending(HttpRequest call) {
      this.call = call;
    }

    @Override
    public void completed(ClientConnection c) {
      connection = c;
      if (result.isDone()) {
        IoUtils.safeClose(c);
        return;
      }
      sent = true;
      c.sendRequest(request(), new Sender());
    }

    @Override
    public void failed(IOException e) {
      finish();
      result.completeExceptionally(
          new HttpException(
              sent,
              call.method()
                  + " "
                  + call.uri()
                  + " failed: "
                  + (e.getMessage() == null ? "the connection was closed" : e.getMessage())
                  + "; check the address, that the server runs, and whether it uses TLS"));
    }

    private void timedOut() {
      if (!result.isDone()) {
        failed(new IOException("no answer within " + call.timeout().toMillis() + " ms"));
      }
    }

    private void finish() {
      if (timer != null) {
        timer.remove();
      }
      IoUtils.safeClose(connection);
    }

    private ClientRequest request() {
      String query = call.uri().getRawQuery();
      String path = call.uri().getRawPath();
      var r = new ClientRequest();
      r.setMethod(new HttpString(call.method()));
      r.setProtocol(Protocols.HTTP_1_1);
      r.setPath((path.isEmpty() ? "/" : path) + (query == null ? "" : "?" + query));
      r.getRequestHeaders().put(Headers.HOST, call.uri().getAuthority());
      r.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
      call.headers().forEach((k, v) -> r.getRequestHeaders().put(new HttpString(k), v));
      return r;
    }

    /** Writes the body, then waits for the answer. */
    private final class Sender implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange x) {
        x.setResponseListener(new Receiver());
        StreamSinkChannel sink = x.getRequestChannel();
        ByteBuffer data = ByteBuffer.wrap(call.body());
        sink.getWriteSetter().set(ch -> write(ch, data));
        write(sink, data);
      }

      @Override
      public void failed(IOException e) {
        Pending.this.failed(e);
      }

      private void write(StreamSinkChannel sink, ByteBuffer data) {
        try {
          while (data.hasRemaining()) {
            if (sink.write(data) == 0) {
              sink.resumeWrites();
              return;
            }
          }
          sink.shutdownWrites();
          sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, null));
          if (!sink.flush()) {
            sink.resumeWrites();
          }
        } catch (IOException e) {
          Pending.this.failed(e);
        }
      }
    }

    /** Collects the answer's body. */
    private final class Receiver implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange x) {
        StreamSourceChannel source = x.getResponseChannel();
        source.getReadSetter().set(ch -> read(x, ch));
        read(x, source);
      }

      @Override
      public void failed(IOException e) {
        Pending.this.failed(e);
      }

      private void read(ClientExchange x, StreamSourceChannel source) {
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        try {
          for (int n = source.read(buffer); n != -1; n = source.read(buffer)) {
            if (n == 0) {
              source.resumeReads();
              return;
            }
            body.write(buffer.array(), 0, buffer.position());
            buffer.clear();
            if (body.size() > MAX_REPLY_BYTES) {
              throw new IOException("answer larger than " + MAX_REPLY_BYTES + " bytes");
            }
          }
          succeed(x);
        } catch (IOException e) {
          Pending.this.failed(e);
        }
      }

      private void succeed(ClientExchange x) {
        finish();
        Map<String, String> headers = new HashMap<>();
        x.getResponse()
            .getResponseHeaders()
            .forEach(h -> headers.put(lowerCase(h.getHeaderName()), h.getFirst()));
        result.complete(
            new HttpResponse(x.getResponse().getResponseCode(), headers, body.toByteArray()));
      }

      private static String lowerCase(HttpString name) {
        return name.toString().toLowerCase(Locale.ROOT);
      }
    }
  }
}
