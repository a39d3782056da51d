package dev.cactusstack.gateway.net;

import dev.cactusstack.model.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client that reuses connections to servers.
 *
 * <p>Invariant: a connection carries one exchange at a time, and is reused only after a complete
 * request and a complete response with no bytes after it, and not for the id of a request that it
 * carried lately. Confined to its event loop.
 */
public final class HttpClient {
  private static final int KEEPALIVE_PROBE_INTERVAL_S = 1;
  private static final int MAX_KEEPALIVE_PROBES = 2;

  private final EventLoop loop;
  private final HttpClientSettings limits;
  private final LongSupplier clock;
  private final Map<String, Deque<ServerConnection>> idle = new HashMap<>();
  private final Set<ServerConnection> buffering = new HashSet<>();
  private long bufferedBytes;
  private long openedConnections;
  private long skippedResponses;

  /**
   * Creates a client without connections.
   *
   * @param loop the event loop of all its connections
   * @param limits timeouts and limits of its connections
   * @param clock a monotonic clock, in milliseconds
   */
  public HttpClient(EventLoop loop, HttpClientSettings limits, LongSupplier clock) {
    this.loop = loop;
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @param timeoutMs longest time for the whole exchange, in milliseconds
   * @param end receives the result, once
   * @return the exchange
   */
  public Exchange send(OutgoingRequest request, long timeoutMs, Consumer<ExchangeResult> end) {
    var exchange = new Exchange(request, end);
    exchange.setTimeoutTimer(
        loop.schedule(exchange::timeOut, Math.max(1, timeoutMs), TimeUnit.MILLISECONDS));
    ServerConnection reused = takeIdle(request);
    if (reused != null) {
      exchange.setConnectionIdleMs(reused.idleFor(clock.getAsLong()));
      reused.run(exchange);
    } else {
      connect(exchange);
    }
    return exchange;
  }

  /** Closes connections that have been idle too long. */
  public void closeIdleConnections() {
    long now = clock.getAsLong();
    for (Iterator<Deque<ServerConnection>> i = idle.values().iterator(); i.hasNext(); ) {
      Deque<ServerConnection> pool = i.next();
      while (!pool.isEmpty() && pool.peekLast().idleFor(now) >= pool.peekLast().keepAliveMs()) {
        pool.removeLast().close();
      }
      if (pool.isEmpty()) {
        i.remove();
      }
    }
  }

  /**
   * Closes all idle connections of a pool, because they may have gone silent.
   *
   * @param pool the key of the connection pool
   */
  public void closeIdleConnections(String pool) {
    Deque<ServerConnection> connections = idle.remove(pool);
    if (connections != null) {
      connections.forEach(ServerConnection::close);
    }
  }

  /**
   * Counts the connections opened so far.
   *
   * @return the count
   */
  public long openedConnections() {
    return openedConnections;
  }

  /**
   * Counts the responses that were skipped so far, because they were not taken for the response to
   * the current request of their connection.
   *
   * @return the count
   */
  public long skippedResponses() {
    return skippedResponses;
  }

  void recordSkippedResponse() {
    skippedResponses++;
  }

  /**
   * Checks whether a request could reuse a connection.
   *
   * @param pool the key of the connection pool
   * @return true if there is an idle connection
   */
  public boolean hasIdleConnection(String pool) {
    return idle.containsKey(pool);
  }

  private @Nullable ServerConnection takeIdle(OutgoingRequest r) {
    Deque<ServerConnection> pool = idle.get(r.connectionPoolKey());
    if (pool == null) {
      return null;
    }
    for (ServerConnection candidate : pool) {
      if (!candidate.hasCarried(r)) {
        return isReusable(candidate, r) ? removed(candidate) : null;
      }
    }
    return null;
  }

  private ServerConnection removed(ServerConnection candidate) {
    removeIdle(candidate);
    return candidate;
  }

  private boolean isReusable(ServerConnection connection, OutgoingRequest r) {
    long maxIdleMs = Math.min(r.maxIdleMs(), connection.keepAliveMs());
    return connection.idleFor(clock.getAsLong()) <= maxIdleMs && connection.isOpen();
  }

  private void connect(Exchange exchange) {
    openedConnections++;
    var connection = new ServerConnection(this, exchange.request().connectionPoolKey(), limits);
    Address a = exchange.request().address();
    ChannelFuture f = bootstrap(connection).connect(a.ip(), a.port());
    exchange.attach(f.channel());
    f.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.run(exchange);
          } else {
            exchange.complete(new ExchangeResult.NotSent("connect: " + done.cause().getMessage()));
          }
        });
  }

  private Bootstrap bootstrap(ServerConnection connection) {
    Bootstrap b =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs())
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    connection.addTo(ch.pipeline());
                  }
                });
    if (limits.tcpKeepAlive()) {
      b.option(ChannelOption.SO_KEEPALIVE, true)
          .option(
              NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_INTERVAL_S)
          .option(
              NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
              KEEPALIVE_PROBE_INTERVAL_S)
          .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_KEEPALIVE_PROBES);
    }
    return b;
  }

  /**
   * Records body bytes that a connection has buffered. If all connections together buffer too much,
   * the exchange with the largest body fails.
   */
  void addBuffered(ServerConnection connection, int bytes) {
    bufferedBytes += bytes;
    buffering.add(connection);
    while (bufferedBytes > limits.maxBufferedBytes() && !buffering.isEmpty()) {
      Collections.max(buffering, Comparator.comparingInt(ServerConnection::bodyLength))
          .failExchange("response buffers exhausted");
    }
  }

  void removeBuffered(ServerConnection connection, int bytes) {
    bufferedBytes -= bytes;
    buffering.remove(connection);
  }

  void addIdle(ServerConnection c) {
    idle.computeIfAbsent(c.connectionPoolKey(), p -> new ArrayDeque<>()).addFirst(c);
  }

  void removeIdle(ServerConnection c) {
    Deque<ServerConnection> pool = idle.get(c.connectionPoolKey());
    if (pool != null && pool.remove(c) && pool.isEmpty()) {
      idle.remove(c.connectionPoolKey());
    }
  }

  long now() {
    return clock.getAsLong();
  }
}
