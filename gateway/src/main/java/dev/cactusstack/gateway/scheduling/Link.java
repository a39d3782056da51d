package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Sends and receives datagrams of other hosts. Confined to the event loop. */
public final class Link {
  private static final int MAX_DATAGRAM_BYTES = 32_768;

  private final EventLoop loop;
  private final EventLog log;
  private @Nullable Channel channel;
  private long sentMessageCount;

  /**
   * Creates a link that is not open.
   *
   * @param loop the loop that everything runs on
   * @param log where unreadable messages are told
   */
  public Link(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Opens the link.
   *
   * @param address where to receive
   * @param receiver gets each message with its sender
   * @return completes when messages can arrive
   */
  public ChannelFuture open(Address address, BiConsumer<LinkMessage, Address> receiver) {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver(receiver))
            .bind(address.ip(), address.port());
    channel = bound.channel();
    return bound;
  }

  /**
   * Sends a message; it may get lost.
   *
   * @param message the message
   * @param destination where to
   */
  public void send(LinkMessage message, Address destination) {
    Channel openChannel = channel;
    if (openChannel != null && openChannel.isActive()) {
      byte[] bytes = LinkCodec.encode(message);
      if (bytes.length > MAX_DATAGRAM_BYTES) {
        log.event("link_too_large")
            .with("bytes", bytes.length)
            .with("remedy", "the receiver reads the store instead")
            .write();
        return;
      }
      sentMessageCount++;
      var socketAddress = new InetSocketAddress(destination.ip(), destination.port());
      openChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress));
    }
  }

  /**
   * Counts the messages sent so far.
   *
   * @return the count
   */
  public long sentMessageCount() {
    return sentMessageCount;
  }

  /** Decodes datagrams. Confined to the event loop. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private final BiConsumer<LinkMessage, Address> receiver;

    Receiver(BiConsumer<LinkMessage, Address> receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
      InetSocketAddress from = datagram.sender();
      try {
        LinkMessage message = LinkCodec.decode(ByteBufUtil.getBytes(datagram.content()));
        receiver.accept(message, new Address(from.getAddress().getHostAddress(), from.getPort()));
      } catch (IOException e) {
        log.event("link_unreadable")
            .with("from", String.valueOf(from))
            .with("cause", String.valueOf(e.getMessage()))
            .write();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("link_fault").with("cause", String.valueOf(cause)).write();
    }
  }
}
