package dev.cactusstack.host.callers;

import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Idle connections to upstreams and other hosts, kept apart for each I/O thread.
 *
 * <p>Invariant: a connection is used by one request at a time, on the thread that opened it. The
 * pools of a thread are confined to it; the map of pools is thread-safe.
 */
final class ConnectionPools {
  private static final int MAX_IDLE_PER_ADDRESS = 32;
  private static final long IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long SWEEP_INTERVAL_MS = 1_000;
  private static final OptionMap OPTIONS =
      OptionMap.builder()
          .set(UndertowOptions.ENABLE_HTTP2, false)
          .set(Options.TCP_NODELAY, true)
          .getMap();

  private final Ticker ticker;
  private final ByteBufferPool buffers;
  private final int connectTimeoutMs;
  private final Map<XnioIoThread, ThreadConnections> pools = new ConcurrentHashMap<>();
  private final AtomicInteger openedCount = new AtomicInteger();

  /** What a request needs of a connection. */
  enum Freshness {
    /** Any open connection. */
    ANY,
    /** One that carried an answer a moment ago, or a new one. */
    RECENTLY_USED,
    /** A new one. */
    NEW
  }

  /** An idle connection and when it last carried an answer. */
  private record IdleConnection(ClientConnection connection, long idleSinceNanos) {}

  ConnectionPools(Ticker ticker, ByteBufferPool buffers, int connectTimeoutMs) {
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.buffers = Objects.requireNonNull(buffers, "buffers is null");
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /** Finds or opens a connection; calls back on the given thread, at once for an idle one. */
  void acquire(
      XnioIoThread thread, Address to, Freshness freshness, ClientCallback<ClientConnection> cb) {
    ThreadConnections pool = pools.computeIfAbsent(thread, ThreadConnections::new);
    ClientConnection idle = freshness == Freshness.NEW ? null : pool.take(to, freshness);
    if (idle != null) {
      cb.completed(idle);
      return;
    }
    openedCount.incrementAndGet();
    new ConnectAttempt(cb).start(thread, to);
  }

  /** Returns a connection that has carried a whole exchange. */
  void release(XnioIoThread thread, Address to, ClientConnection c) {
    pools.computeIfAbsent(thread, ThreadConnections::new).put(to, c);
  }

  /** The timers of a thread; to be used on that thread only. */
  TimerWheel timers(XnioIoThread thread) {
    return pools.computeIfAbsent(thread, ThreadConnections::new).timers;
  }

  int openedCount() {
    return openedCount.get();
  }

  /** The idle connections of one thread. Confined to it. */
  private final class ThreadConnections {
    private static final long RECENT_USE_NANOS = 1_000_000_000L;

    private final XnioIoThread thread;
    private final Map<Address, ArrayDeque<IdleConnection>> idle = new HashMap<>();
    private final TimerWheel timers;

    ThreadConnections(XnioIoThread thread) {
      this.thread = thread;
      this.timers = new TimerWheel(thread);
      scheduleSweep();
    }

    private void scheduleSweep() {
      try {
        thread.executeAfter(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // The thread is shutting down, and closes its connections itself.
        idle.clear();
      }
    }

    @Nullable ClientConnection take(Address to, Freshness freshness) {
      ArrayDeque<IdleConnection> list = idle.get(to);
      if (list == null) {
        return null;
      }
      // The newest first: the rest can then reach the idle limit.
      for (IdleConnection i = list.pollLast(); i != null; i = list.pollLast()) {
        boolean recentlyUsed = ticker.nanos() - i.idleSinceNanos < RECENT_USE_NANOS;
        if (freshness == Freshness.RECENTLY_USED && !recentlyUsed) {
          list.addLast(i);
          return null;
        }
        if (i.connection.isOpen()) {
          return i.connection;
        }
      }
      return null;
    }

    void put(Address to, ClientConnection c) {
      if (!c.isOpen()) {
        return;
      }
      ArrayDeque<IdleConnection> list = idle.computeIfAbsent(to, a -> new ArrayDeque<>());
      if (list.size() >= MAX_IDLE_PER_ADDRESS) {
        IoUtils.safeClose(c);
        return;
      }
      list.addLast(new IdleConnection(c, ticker.nanos()));
    }

    private void sweep() {
      long now = ticker.nanos();
      idle.values().forEach(list -> expire(list, now));
      idle.values().removeIf(ArrayDeque::isEmpty);
      scheduleSweep();
    }

    private void expire(ArrayDeque<IdleConnection> list, long now) {
      for (IdleConnection i = list.peekFirst(); i != null; i = list.peekFirst()) {
        if (i.connection.isOpen() && now - i.idleSinceNanos < IDLE_LIMIT_NANOS) {
          return;
        }
        list.pollFirst();
        IoUtils.safeClose(i.connection);
      }
    }
  }

  /** One connection attempt with a time limit. Confined to its thread. */
  private final class ConnectAttempt implements ClientCallback<ClientConnection> {
    private final ClientCallback<ClientConnection> cb;
    private XnioExecutor.@Nullable Key timer;
    private boolean done;

    ConnectAttempt(ClientCallback<ClientConnection> cb) {
      this.cb = cb;
    }

    void start(XnioIoThread thread, Address to) {
      timer = thread.executeAfter(this::timedOut, connectTimeoutMs, TimeUnit.MILLISECONDS);
      try {
        UndertowClient.getInstance()
            .connect(this, URI.create("http://" + to), thread, buffers, OPTIONS);
      } catch (RuntimeException e) {
        failed(new IOException(e));
      }
    }

    @Override
    public void completed(ClientConnection c) {
      if (finish()) {
        cb.completed(c);
      } else {
        IoUtils.safeClose(c);
      }
    }

    @Override
    public void failed(IOException e) {
      if (finish()) {
        cb.failed(e);
      }
    }

    private void timedOut() {
      failed(new IOException("no connection within " + connectTimeoutMs + " ms"));
    }

    private boolean finish() {
      boolean first = !done;
      done = true;
      if (timer != null) {
        timer.remove();
      }
      return first;
    }
  }
}
