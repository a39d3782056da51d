package dev.cactusstack.gateway.callers;

import dev.cactusstack.model.site.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller.
 *
 * <p>Requests run as soon as they have arrived whole, and are answered in the order in which they
 * arrived. When the caller closes the connection, what runs for it is cancelled. Confined to the
 * event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_PIPELINED = 32;
  private static final long LINGER_MS = 1_000;

  private final CallerListener port;
  private final Channel channel;
  private final CallerLimits limits;
  private final Deque<Turn> turns = new ArrayDeque<>();
  private @Nullable HttpRequest head;
  private byte[] body = new byte[0];
  private int bodyLength;
  private boolean rejected;
  private boolean ending;
  private long lastMs;
  private long headMs;

  CallerConnection(CallerListener port, Channel channel, CallerLimits limits) {
    this.port = port;
    this.channel = channel;
    this.limits = limits;
    this.lastMs = port.now();
  }

  int inFlight() {
    return turns.size() + (head != null ? 1 : 0);
  }

  void closeIfQuiet() {
    if (inFlight() == 0) {
      channel.close();
    }
  }

  void closeIfIdle(CallerLimits l, long nowMs) {
    boolean idle = inFlight() == 0 && nowMs - lastMs > l.idleTimeoutMs();
    boolean stuck = head != null && turns.isEmpty() && nowMs - lastMs > l.idleTimeoutMs();
    if (idle || stuck) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    lastMs = port.now();
    try {
      if (!ending) {
        read(msg);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void read(Object msg) {
    if (msg instanceof HttpRequest r) {
      begin(r);
    }
    if (msg instanceof HttpContent c && head != null) {
      append(c.content());
      if (c.decoderResult().isFailure()) {
        refuse(Refusal.MALFORMED);
      } else if (c instanceof LastHttpContent) {
        whole();
      }
    }
  }

  private void begin(HttpRequest r) {
    head = r;
    headMs = lastMs;
    bodyLength = 0;
    rejected = false;
    DecoderResult result = r.decoderResult();
    if (result.isFailure()) {
      boolean large = result.cause() instanceof TooLongHttpHeaderException;
      refuse(large ? Refusal.HEADERS_TOO_LARGE : Refusal.MALFORMED);
      return;
    }
    if (HttpUtil.getContentLength(r, 0L) > limits.maxBodyBytes()) {
      refuse(Refusal.BODY_TOO_LARGE);
      return;
    }
    if (HttpUtil.is100ContinueExpected(r)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void append(ByteBuf content) {
    int n = content.readableBytes();
    if (n == 0 || rejected) {
      return;
    }
    if ((long) bodyLength + n > limits.maxBodyBytes()) {
      refuse(Refusal.BODY_TOO_LARGE);
      return;
    }
    if (bodyLength + n > body.length) {
      body = Arrays.copyOf(body, Math.max(bodyLength + n, body.length * 2));
    }
    content.readBytes(body, bodyLength, n);
    bodyLength += n;
  }

  /** Answers a request that can't be read on, and ends the connection. */
  private void refuse(Refusal why) {
    rejected = true;
    head = null;
    var turn = new Turn(true);
    turns.add(turn);
    ending = true;
    turn.answer = CallerResponse.problem(why);
    flush();
  }

  private void whole() {
    HttpRequest r = head;
    if (r == null) {
      return;
    }
    head = null;
    var request =
        new CallerRequest(
            r.method(), r.uri(), r.headers(), Arrays.copyOf(body, bodyLength), headMs);
    body = new byte[0];
    bodyLength = 0;
    var turn = new Turn(!HttpUtil.isKeepAlive(r));
    turns.add(turn);
    if (turns.size() >= MAX_PIPELINED) {
      channel.config().setAutoRead(false);
    }
    turn.running = dispatch(request, turn);
  }

  private RequestHandler.Cancellable dispatch(CallerRequest request, Turn turn) {
    for (RequestHandler f : port.chain()) {
      Optional<RequestHandler.Cancellable> taken = f.tryHandle(request, a -> answered(turn, a));
      if (taken.isPresent()) {
        return taken.get();
      }
    }
    answered(turn, CallerResponse.problem(Refusal.NO_ROUTE));
    return RequestHandler.Cancellable.COMPLETED;
  }

  private void answered(Turn turn, CallerResponse answer) {
    turn.answer = answer;
    flush();
  }

  private void flush() {
    boolean wrote = false;
    while (!turns.isEmpty() && channel.isActive()) {
      Turn first = turns.peekFirst();
      CallerResponse a = first.answer;
      if (a == null) {
        break;
      }
      turns.removeFirst();
      wrote = true;
      if (write(a, first.last || port.closing())) {
        return;
      }
    }
    if (wrote) {
      channel.flush();
      channel.config().setAutoRead(turns.size() < MAX_PIPELINED && channel.isWritable());
    }
  }

  /** Writes an answer; returns true when it was the connection's last. */
  private boolean write(CallerResponse a, boolean last) {
    lastMs = port.now();
    var m =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(a.status()),
            Unpooled.wrappedBuffer(a.body()));
    m.headers().set(a.headers());
    HttpUtil.setContentLength(m, a.body().length);
    if (!last) {
      channel.write(m);
      return false;
    }
    ending = true;
    m.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    cancelAll();
    // The other direction is read on until the caller closes: closing with unread bytes resets the
    // connection, and the answer could be lost with it.
    channel.writeAndFlush(m).addListener((ChannelFutureListener) f -> linger());
    return true;
  }

  private void linger() {
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    channel.config().setAutoRead(turns.size() < MAX_PIPELINED && channel.isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelAll();
    port.closed(this);
    ctx.fireChannelInactive();
  }

  private void cancelAll() {
    for (Turn t : turns) {
      t.running.cancel();
    }
    turns.clear();
  }

  /** A request in its place among the connection's requests. */
  private static final class Turn {
    private final boolean last;
    private @Nullable CallerResponse answer;
    private RequestHandler.Cancellable running = RequestHandler.Cancellable.COMPLETED;

    Turn(boolean last) {
      this.last = last;
    }
  }
}
