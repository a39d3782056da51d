package dev.cactusstack.bench;

import dev.cactusstack.http.XnioWorkers;
import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** HTTP client of the simulated callers, which collects complete responses. Thread-safe. */
final class LoadClient implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final OptionMap OPTIONS =
      OptionMap.builder()
          .set(UndertowOptions.ENABLE_HTTP2, false)
          .set(Options.TCP_NODELAY, true)
          .getMap();

  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers =
      new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 8);
  private final Map<XnioIoThread, Map<String, ArrayDeque<ClientConnection>>> idleConnections;
  private final XnioIoThread[] threads;
  private final AtomicInteger nextThread = new AtomicInteger();
  private final long timeoutMs;

  /** A request to send. Immutable. */
  record Call(
      String address, String method, String path, Map<String, String> headers, byte[] body) {
    static Call get(String address, String host, String path) {
      return new Call(address, "GET", path, Map.of("Host", host), new byte[0]);
    }
  }

  LoadClient(int threadCount, long timeoutMs) {
    this.timeoutMs = timeoutMs;
    worker = XnioWorkers.createDaemonWorker("callers", threadCount);
    idleConnections = new HashMap<>();
    threads = new XnioIoThread[threadCount];
    for (int i = 0; i < threadCount; i++) {
      threads[i] = registerThread(i);
    }
  }

  private XnioIoThread registerThread(int n) {
    XnioIoThread t = worker.getIoThread(n);
    idleConnections.put(t, new HashMap<>());
    return t;
  }

  /** Sends a request; {@code onDone} is called once, on an I/O thread. */
  void send(Call call, Consumer<CallResult> onDone) {
    XnioIoThread t = threads[Math.floorMod(nextThread.getAndIncrement(), threads.length)];
    t.execute(() -> new CallExecution(t, call, onDone).start());
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }

  /** The execution of one call. Confined to its I/O thread. */
  private final class CallExecution implements ClientCallback<ClientConnection> {
    private final XnioIoThread thread;
    private final Call call;
    private final Consumer<CallResult> onDone;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.@Nullable Key timer;
    private @Nullable ClientConnection connection;
    private boolean ended;
    private boolean sent;

    CallExecution(XnioIoThread thread, Call call, Consumer<CallResult> onDone) {
      this.thread = thread;
      this.call = call;
      this.onDone = onDone;
    }

    private ArrayDeque<ClientConnection> pool() {
      return java.util.Objects.requireNonNull(idleConnections.get(thread))
          .computeIfAbsent(call.address(), a -> new ArrayDeque<>());
    }

    void start() {
      timer = thread.executeAfter(this::fail, timeoutMs, TimeUnit.MILLISECONDS);
      ArrayDeque<ClientConnection> pool = pool();
      for (ClientConnection c = pool.pollLast(); c != null; c = pool.pollLast()) {
        if (c.isOpen()) {
          completed(c);
          return;
        }
      }
      try {
        UndertowClient.getInstance()
            .connect(this, URI.create("http://" + call.address()), thread, buffers, OPTIONS);
      } catch (RuntimeException e) {
        fail();
      }
    }

    @Override
    public void completed(ClientConnection c) {
      connection = c;
      if (ended) {
        IoUtils.safeClose(c);
        return;
      }
      sent = true;
      var r = new ClientRequest();
      r.setMethod(new HttpString(call.method()));
      r.setProtocol(Protocols.HTTP_1_1);
      r.setPath(call.path());
      call.headers().forEach((k, v) -> r.getRequestHeaders().put(new HttpString(k), v));
      if (call.body().length > 0) {
        r.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
      }
      c.sendRequest(
          r,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange x) {
              x.setResponseListener(responseCallback());
              write(x.getRequestChannel(), ByteBuffer.wrap(call.body()));
            }

            @Override
            public void failed(IOException e) {
              fail();
            }
          });
    }

    @Override
    public void failed(IOException e) {
      fail();
    }

    private void write(StreamSinkChannel sink, ByteBuffer data) {
      try {
        while (data.hasRemaining()) {
          if (sink.write(data) == 0) {
            sink.getWriteSetter().set(ch -> write(ch, data));
            sink.resumeWrites();
            return;
          }
        }
        sink.shutdownWrites();
        if (!sink.flush()) {
          sink.getWriteSetter().set(org.xnio.ChannelListeners.flushingChannelListener(null, null));
          sink.resumeWrites();
        }
      } catch (IOException e) {
        fail();
      }
    }

    private ClientCallback<ClientExchange> responseCallback() {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientExchange x) {
          StreamSourceChannel source = x.getResponseChannel();
          source.getReadSetter().set(ch -> read(x, ch));
          read(x, source);
        }

        @Override
        public void failed(IOException e) {
          fail();
        }
      };
    }

    private void read(ClientExchange x, StreamSourceChannel source) {
      ByteBuffer b = ByteBuffer.allocate(BUFFER_BYTES);
      try {
        for (int n = source.read(b); n != -1; n = source.read(b)) {
          if (n == 0) {
            source.resumeReads();
            return;
          }
          body.write(b.array(), 0, b.position());
          b.clear();
        }
        succeed(x);
      } catch (IOException e) {
        fail();
      }
    }

    private void succeed(ClientExchange x) {
      if (!markEnded()) {
        return;
      }
      Map<String, String> headers = new HashMap<>();
      x.getResponse()
          .getResponseHeaders()
          .forEach(
              h ->
                  headers.put(h.getHeaderName().toString().toLowerCase(Locale.ROOT), h.getFirst()));
      if (connection != null && connection.isOpen() && !"close".equals(headers.get("connection"))) {
        ClientConnection reusable = connection;
        // Undertow is still processing this response; the connection can be reused only afterwards.
        thread.execute(() -> pool().addLast(reusable));
      } else {
        IoUtils.safeClose(connection);
      }
      onDone.accept(
          new CallResult(x.getResponse().getResponseCode(), headers, body.toByteArray(), true));
    }

    private void fail() {
      if (markEnded()) {
        IoUtils.safeClose(connection);
        onDone.accept(CallResult.none(sent));
      }
    }

    private boolean markEnded() {
      boolean first = !ended;
      ended = true;
      if (timer != null) {
        timer.remove();
      }
      return first;
    }
  }
}
