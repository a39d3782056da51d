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

/** Exchanges datagrams with other hosts. Confined to the event loop. */
public final class Link implements MessageSender {
  private static final int MAX_DATAGRAM_BYTES = 32_768;

  private final EventLoop loop;
  private final EventLog log;
  private @Nullable Channel channel;
  private long sentMessageCount;

  /**
   * Creates a link that is not open.
   *
   * @param loop the event loop that all methods run on
   * @param log logs messages that cannot be decoded or sent
   */
  public Link(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Opens the link.
   *
   * @param address the local address to bind
   * @param receiver receives each message with its sender's address
   * @return completes when the link can receive messages
   */
  public ChannelFuture open(Address address, BiConsumer<LinkMessage, Address> receiver) {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver(receiver))
            .bind(address.ip(), address.port());
    channel = bound.channel();
    return bound;
  }

  @Override
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
   * Returns the number of messages sent so far.
   *
   * @return the count
   */
  public long sentMessageCount() {
    return sentMessageCount;
  }

  /** Decodes datagrams and passes on their messages. Confined to the event loop. */
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
