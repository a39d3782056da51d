package dev.cactusstack.gateway.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Accepts connections of callers on a port and passes their requests to a chain of handlers.
 * Confined to the event loop.
 */
public final class CallerListener {
  private static final int BACKLOG = 1_024;
  private static final long ACCEPT_PENDING_MS = 5;
  private static final int MAX_LINE_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final EventLoop loop;
  private final List<RequestHandler> handlers;
  private final Supplier<CallerLimits> limits;
  private final LongSupplier clock;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private @Nullable Channel channel;
  private boolean draining;

  /**
   * Creates a listener that is not open yet.
   *
   * @param loop the event loop of all its connections
   * @param handlers the handlers in order; the last must handle every request
   * @param limits supplies the current limits on requests
   * @param clock a monotonic clock, in milliseconds
   */
  public CallerListener(
      EventLoop loop,
      List<RequestHandler> handlers,
      Supplier<CallerLimits> limits,
      LongSupplier clock) {
    this.loop = loop;
    this.handlers = List.copyOf(handlers);
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Starts to listen.
   *
   * @param address the address to bind
   * @return a future that completes when callers can connect
   */
  public ChannelFuture open(Address address) {
    ChannelFuture f =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    initConnection(ch);
                  }
                })
            .bind(address.ip(), address.port());
    channel = f.channel();
    return f;
  }

  private void initConnection(Channel ch) {
    CallerLimits l = limits.get();
    var connection = new CallerConnection(this, ch, l);
    ch.pipeline()
        .addLast(new HttpServerCodec(MAX_LINE_BYTES, l.maxHeaderBytes(), MAX_CHUNK_BYTES))
        .addLast(connection);
    connections.add(connection);
  }

  /** Closes connections that are idle, or on which a request stalls, beyond the idle timeout. */
  public void closeTimedOutConnections() {
    long now = clock.getAsLong();
    CallerLimits l = limits.get();
    List.copyOf(connections).forEach(c -> c.closeIfTimedOut(l, now));
  }

  /**
   * Stops accepting connections and closes each open one after its next response. Connections that
   * the system has already established are accepted first, because closing would reset them.
   */
  public void stopListening() {
    draining = true;
    Channel listening = channel;
    if (listening != null) {
      loop.schedule(() -> listening.close(), ACCEPT_PENDING_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Closes each connection after its next response; new connections are still accepted. */
  public void startDraining() {
    draining = true;
  }

  /** Closes connections without requests in flight and without responses to send. */
  public void closeUnusedConnections() {
    long now = clock.getAsLong();
    List.copyOf(connections).forEach(c -> c.closeIfUnused(now));
  }

  /**
   * Counts requests that have no complete response.
   *
   * @return the count
   */
  public int inFlight() {
    return connections.stream().mapToInt(CallerConnection::inFlight).sum();
  }

  /**
   * Counts connections whose callers have not read all of their responses.
   *
   * @return the count
   */
  public long unsentConnections() {
    return connections.stream().filter(CallerConnection::hasUnsentResponses).count();
  }

  /**
   * Checks whether all connections are closed.
   *
   * @return false while a caller may still have to read a response
   */
  public boolean isEmpty() {
    return connections.isEmpty();
  }

  List<RequestHandler> handlers() {
    return handlers;
  }

  boolean draining() {
    return draining;
  }

  long now() {
    return clock.getAsLong();
  }

  void removeConnection(CallerConnection c) {
    connections.remove(c);
  }
}
