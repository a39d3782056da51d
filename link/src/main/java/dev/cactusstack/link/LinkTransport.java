package dev.cactusstack.link;

import dev.cactusstack.model.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.IntPredicate;

/**
 * Sends and receives signed datagrams over UDP.
 *
 * <p>Delivery is not guaranteed: datagrams can be lost, duplicated or reordered. Thread-safe.
 */
public final class LinkTransport implements AutoCloseable {
  /** The largest datagram that is received without truncation. */
  static final int MAX_DATAGRAM_BYTES = 2_048;

  /** Size of the IPv4 and UDP headers. */
  private static final int HEADER_BYTES = 28;

  private final LinkCodec codec;
  private final MultiThreadIoEventLoopGroup group;
  private final Channel channel;
  private final LongAdder sentByteCount = new LongAdder();
  private final LongAdder rejectedDatagrams = new LongAdder();

  private LinkTransport(
      LinkCodec codec, Address bind, int port, BiConsumer<Address, LinkMessage> receiver) {
    this.codec = codec;
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver(receiver))
            .bind(new InetSocketAddress(bind.ip(), port))
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Binds a socket and starts to receive.
   *
   * @param codec encodes and decodes datagrams
   * @param bind the address to bind
   * @param receiver called on the event loop thread for each valid message
   * @return the running transport
   */
  public static LinkTransport open(
      LinkCodec codec, Address bind, BiConsumer<Address, LinkMessage> receiver) {
    Objects.requireNonNull(codec, "codec is null");
    Objects.requireNonNull(bind, "bind is null");
    Objects.requireNonNull(receiver, "receiver is null");
    return new LinkTransport(codec, bind, bind.port(), receiver);
  }

  /**
   * Sends a message without blocking, if its size is allowed.
   *
   * @param recipient the address to send to
   * @param m the message
   * @param sizeAllowed tests the size in bytes, including network headers
   * @return the number of bytes sent, or 0 if the size is not allowed
   */
  public int send(Address recipient, LinkMessage m, IntPredicate sizeAllowed) {
    byte[] bytes = codec.encode(m);
    if (!sizeAllowed.test(bytes.length + HEADER_BYTES)) {
      return 0;
    }
    sentByteCount.add(bytes.length + HEADER_BYTES);
    channel.writeAndFlush(
        new DatagramPacket(
            Unpooled.wrappedBuffer(bytes),
            new InetSocketAddress(recipient.ip(), recipient.port())));
    return bytes.length + HEADER_BYTES;
  }

  /**
   * Returns the number of bytes sent since the start, including network headers.
   *
   * @return the count
   */
  public long sentByteCount() {
    return sentByteCount.sum();
  }

  /**
   * Returns the number of rejected datagrams and receive errors.
   *
   * @return the count
   */
  public long rejectedDatagrams() {
    return rejectedDatagrams.sum();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
    group.shutdownGracefully();
  }

  /** Decodes datagrams and passes valid messages to the receiver. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private final BiConsumer<Address, LinkMessage> receiver;

    Receiver(BiConsumer<Address, LinkMessage> receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      InetSocketAddress from = packet.sender();
      Address sender = new Address(from.getAddress().getHostAddress(), from.getPort());
      codec
          .decode(ByteBufUtil.getBytes(packet.content()))
          .ifPresentOrElse(m -> receiver.accept(sender, m), rejectedDatagrams::increment);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // ICMP errors of unreachable peers are reported here; failure detection handles such peers.
      rejectedDatagrams.increment();
    }
  }
}
