package dev.cactusstack.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
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
 * Sends control requests, each on its own connection.
 *
 * <p>Invariant: each returned future completes within the timeout of the request, with the complete
 * response or with an {@link HttpException}. Thread-safe.
 */
public final class HttpClient {
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_STATUS = 599;
  private static final OptionMap OPTIONS = OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);

  private final XnioWorker worker;
  private final ByteBufferPool pool;
  private final @Nullable XnioSsl ssl;

  /**
   * Creates a client.
   *
   * @param worker the XNIO worker that provides the I/O threads
   * @param tls the TLS context for {@code https} URIs, if any are used
   */
  public HttpClient(XnioWorker worker, Optional<SSLContext> tls) {
    this.worker = Objects.requireNonNull(worker, "worker is null");
    this.pool = new DefaultByteBufferPool(true, BUFFER_BYTES, 32, 2);
    this.ssl = tls.map(c -> new UndertowXnioSsl(worker.getXnio(), OptionMap.EMPTY, c)).orElse(null);
  }

  /**
   * Sends a request.
   *
   * @param httpRequest the request
   * @return the response, or an {@link HttpException}
   */
  public CompletableFuture<HttpResponse> send(HttpRequest httpRequest) {
    Objects.requireNonNull(httpRequest, "httpRequest is null");
    XnioIoThread thread = worker.getIoThread();
    var pending = new PendingRequest(httpRequest);
    pending.timer =
        thread.executeAfter(
            pending::onTimeout, httpRequest.timeout().toMillis(), TimeUnit.MILLISECONDS);
    // Some connection failures are thrown instead of being passed to the callback.
    try {
      UndertowClient.getInstance().connect(pending, httpRequest.uri(), thread, ssl, pool, OPTIONS);
    } catch (RuntimeException e) {
      pending.failed(new IOException(e));
    }
    return pending.result;
  }

  /** The state of one request. Confined to one I/O thread, except for {@code result}. */
  private static final class PendingRequest implements ClientCallback<ClientConnection> {
    private final HttpRequest request;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.@Nullable Key timer;
    private @Nullable ClientConnection connection;
    private volatile boolean mayHaveBeenSent;

    PendingRequest(HttpRequest request) {
      this.request = request;
    }

    @Override
    public void completed(ClientConnection c) {
      connection = c;
      if (result.isDone()) {
        IoUtils.safeClose(c);
        return;
      }
      mayHaveBeenSent = true;
      c.sendRequest(toClientRequest(), new Sender());
    }

    @Override
    public void failed(IOException e) {
      release();
      result.completeExceptionally(
          new HttpException(
              mayHaveBeenSent,
              request.method()
                  + " "
                  + request.uri()
                  + " failed: "
                  + (e.getMessage() == null ? "the connection was closed" : e.getMessage())
                  + "; check the address, whether the server is running, and whether it uses TLS"));
    }

    private void onTimeout() {
      if (!result.isDone()) {
        failed(new IOException("no response within " + request.timeout().toMillis() + " ms"));
      }
    }

    private void release() {
      if (timer != null) {
        timer.remove();
      }
      IoUtils.safeClose(connection);
    }

    private ClientRequest toClientRequest() {
      String query = request.uri().getRawQuery();
      String path = request.uri().getRawPath();
      var r = new ClientRequest();
      r.setMethod(new HttpString(request.method()));
      r.setProtocol(Protocols.HTTP_1_1);
      r.setPath((path.isEmpty() ? "/" : path) + (query == null ? "" : "?" + query));
      r.getRequestHeaders().put(Headers.HOST, request.uri().getAuthority());
      r.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
      request.headers().forEach((k, v) -> r.getRequestHeaders().put(new HttpString(k), v));
      return r;
    }

    /** Writes the body, then waits for the response. */
    private final class Sender implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange x) {
        x.setResponseListener(new Receiver());
        StreamSinkChannel sink = x.getRequestChannel();
        ByteBuffer data = ByteBuffer.wrap(request.body());
        sink.getWriteSetter().set(ch -> write(ch, data));
        write(sink, data);
      }

      @Override
      public void failed(IOException e) {
        PendingRequest.this.failed(e);
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
          PendingRequest.this.failed(e);
        }
      }
    }

    /** Collects the response body. */
    private final class Receiver implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange x) {
        int status = x.getResponse().getResponseCode();
        if (status < StatusCodes.OK || status > MAX_STATUS) {
          PendingRequest.this.failed(
              new IOException("status " + status + " is not that of a response"));
          return;
        }
        if (!endsByItself(x.getResponse())) {
          PendingRequest.this.failed(
              new IOException("the response has neither Content-Length nor chunked encoding"));
          return;
        }
        StreamSourceChannel source = x.getResponseChannel();
        source.getReadSetter().set(ch -> read(x, ch));
        read(x, source);
      }

      @Override
      public void failed(IOException e) {
        PendingRequest.this.failed(e);
      }

      /**
       * Checks whether the end of a response can be distinguished from a lost connection: the
       * client library does not tell an orderly close from one during the upload, and takes the
       * body of a kept connection for empty.
       */
      private boolean endsByItself(ClientResponse r) {
        int status = r.getResponseCode();
        return request.method().equals("HEAD")
            || status == StatusCodes.NO_CONTENT
            || status == StatusCodes.NOT_MODIFIED
            || r.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
            || r.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
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
            if (body.size() > MAX_RESPONSE_BYTES) {
              throw new IOException("response larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
          }
          succeed(x);
        } catch (IOException e) {
          PendingRequest.this.failed(e);
        }
      }

      private void succeed(ClientExchange x) {
        release();
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
