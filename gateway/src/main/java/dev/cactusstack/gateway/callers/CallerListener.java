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
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * A port on which callers connect, with the chain of filters for their requests. Confined to the
 * event loop.
 */
public final class CallerListener {
  private static final int BACKLOG = 1_024;
  private static final int MAX_LINE_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final EventLoop loop;
  private final List<RequestHandler> chain;
  private final Supplier<CallerLimits> limits;
  private final LongSupplier clock;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private @Nullable Channel channel;
  private boolean closing;

  /**
   * Creates a port that is not open.
   *
   * @param loop the loop that everything runs on
   * @param chain filters, first to last; the last takes every request
   * @param limits what callers may send at the moment
   * @param clock a steady clock, in milliseconds
   */
  public CallerListener(
      EventLoop loop, List<RequestHandler> chain, Supplier<CallerLimits> limits, LongSupplier clock) {
    this.loop = loop;
    this.chain = List.copyOf(chain);
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Opens the port.
   *
   * @param address where to listen
   * @return completes when callers can connect
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
                    prepare(ch);
                  }
                })
            .bind(address.ip(), address.port());
    channel = f.channel();
    return f;
  }

  private void prepare(Channel ch) {
    CallerLimits l = limits.get();
    var connection = new CallerConnection(this, ch, l);
    ch.pipeline()
        .addLast(new HttpServerCodec(MAX_LINE_BYTES, l.maxHeaderBytes(), MAX_CHUNK_BYTES))
        .addLast(connection);
    connections.add(connection);
  }

  /** Closes connections that callers leave idle, or on which they send too slowly. */
  public void closeTimedOutConnections() {
    long now = clock.getAsLong();
    CallerLimits l = limits.get();
    List.copyOf(connections).forEach(c -> c.closeIfTimedOut(l, now));
  }

  /** Stops listening, and tells callers with every answer to leave. */
  public void stopListening() {
    closing = true;
    if (channel != null) {
      channel.close();
    }
  }

  /** Tells callers with every answer from now on that their connection ends. */
  public void startDraining() {
    closing = true;
  }

  /** Closes connections on which nothing is in flight. */
  public void closeUnusedConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfUnused);
  }

  /**
   * Counts requests without a complete answer.
   *
   * @return the count
   */
  public int inFlight() {
    return connections.stream().mapToInt(CallerConnection::inFlight).sum();
  }

  List<RequestHandler> chain() {
    return chain;
  }

  boolean closing() {
    return closing;
  }

  long now() {
    return clock.getAsLong();
  }

  void closed(CallerConnection c) {
    connections.remove(c);
  }
}
