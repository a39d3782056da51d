package dev.cactusstack.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a server.
 *
 * <p>An answer counts only when it is whole and bears the id of the request that waits; another
 * answer is skipped, and the connection is closed after the exchange. Confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  private static final String TIMEOUT_FIELD = "timeout=";
  private static final double KEEP_ALIVE_SAFETY_FACTOR = 0.8;
  private static final long MS_PER_SECOND = 1_000;
  private static final HttpVersion VERSION = HttpVersion.HTTP_1_1;

  private final HttpClient client;
  private final String connectionPoolKey;
  private final HttpClientSettings limits;
  private @Nullable Channel channel;
  private @Nullable Exchange exchange;
  private @Nullable HttpResponse head;
  private byte[] body = new byte[0];
  private int bodyLength;
  private boolean skippingResponse;
  private boolean reusable = true;
  private boolean requestWritten;
  private boolean connectionFailed;
  private long idleSinceMs;
  private long keepAliveMs;

  ServerConnection(HttpClient client, String pool, HttpClientSettings limits) {
    this.client = client;
    this.connectionPoolKey = pool;
    this.limits = limits;
    this.keepAliveMs = limits.idleTimeoutMs();
  }

  String connectionPoolKey() {
    return connectionPoolKey;
  }

  boolean isOpen() {
    return channel != null && channel.isActive();
  }

  long idleFor(long nowMs) {
    return nowMs - idleSinceMs;
  }

  long keepAliveMs() {
    return keepAliveMs;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  void run(Exchange e) {
    Channel ch = channel;
    if (ch == null || e.hasEnded()) {
      close();
      return;
    }
    exchange = e;
    requestWritten = false;
    e.attach(ch);
    e.markSending();
    ChannelFuture f = ch.writeAndFlush(toNettyRequest(e.request()));
    f.addListener(
        done -> {
          if (exchange == e) {
            requestWritten = done.isSuccess();
          }
        });
  }

  private static DefaultFullHttpRequest toNettyRequest(OutgoingRequest r) {
    var m =
        new DefaultFullHttpRequest(
            VERSION, r.method(), r.target(), Unpooled.wrappedBuffer(r.body()));
    m.headers().set(r.headers());
    if (r.body().length > 0 || r.method().equals(HttpMethod.POST)) {
      HttpUtil.setContentLength(m, r.body().length);
    }
    return m;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      read(msg);
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void read(Object msg) {
    if (exchange == null) {
      // Bytes that no request asked for: whatever comes next can't be told apart.
      close();
      return;
    }
    if (msg instanceof HttpResponse r) {
      startResponse(r);
    }
    if (msg instanceof HttpContent c) {
      appendBody(c.content());
      if (c.decoderResult().isFailure()) {
        failExchange("not an answer");
      } else if (msg instanceof LastHttpContent) {
        completeResponse();
      }
    }
  }

  private void startResponse(HttpResponse r) {
    if (r.decoderResult().isFailure()) {
      failExchange("not an answer");
      return;
    }
    Exchange e = exchange;
    skippingResponse = e == null || !e.request().responseMatcher().test(r.headers());
    head = r;
    bodyLength = 0;
  }

  private void appendBody(ByteBuf content) {
    int n = content.readableBytes();
    if (skippingResponse || n == 0) {
      return;
    }
    if (bodyLength + n > limits.maxResponseBytes()) {
      failExchange("answer too large");
      return;
    }
    if (bodyLength + n > body.length) {
      body = Arrays.copyOf(body, Math.max(bodyLength + n, body.length * 2));
    }
    content.readBytes(body, bodyLength, n);
    bodyLength += n;
  }

  private void completeResponse() {
    HttpResponse r = head;
    Exchange e = exchange;
    if (r == null || e == null || connectionFailed) {
      return;
    }
    if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    if (skippingResponse) {
      reusable = false;
      return;
    }
    reusable &= requestWritten && HttpUtil.isKeepAlive(r);
    readKeepAlive(r);
    var answer = new ExchangeResult.Response(r.status().code(), r.headers(), Arrays.copyOf(body, bodyLength));
    release();
    e.complete(answer);
  }

  private void readKeepAlive(HttpResponse r) {
    String field = r.headers().get(HttpHeaderNames.KEEP_ALIVE);
    int at = field == null ? -1 : field.indexOf(TIMEOUT_FIELD);
    if (field == null || at < 0) {
      return;
    }
    long seconds = 0;
    for (int i = at + TIMEOUT_FIELD.length(); i < field.length(); i++) {
      char c = field.charAt(i);
      if (c < '0' || c > '9' || seconds > Integer.MAX_VALUE) {
        break;
      }
      seconds = seconds * 10 + (c - '0');
    }
    keepAliveMs = (long) (seconds * MS_PER_SECOND * KEEP_ALIVE_SAFETY_FACTOR);
  }

  /** Makes the connection idle, or closes it when it can't be used again. */
  private void release() {
    exchange = null;
    head = null;
    body = new byte[0];
    bodyLength = 0;
    idleSinceMs = client.now();
    if (reusable && isOpen()) {
      client.addIdle(this);
    } else {
      close();
    }
  }

  private void failExchange(String cause) {
    Exchange e = exchange;
    exchange = null;
    reusable = false;
    close();
    if (e != null) {
      e.complete(new ExchangeResult.Incomplete(cause));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    connectionFailed = true;
    failExchange("connection: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    client.removeIdle(this);
    failExchange("connection closed");
    ctx.fireChannelInactive();
  }
}
