package dev.cactusstack.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a server.
 *
 * <p>A response is accepted only if it is complete and belongs to the current request. A response
 * without a length ends with its connection; it is complete only if the whole request was written
 * and no error of the connection was seen. A response to another request that the connection has
 * carried is skipped, and the connection is closed after the exchange. A response that may or may
 * not be that to the current request ends the exchange, so that nothing that follows can replace
 * it. A complete response is delivered at the end of the read that it came with, and the connection
 * is reused only if nothing came after it. Confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  private static final String TIMEOUT_FIELD = "timeout=";
  private static final double KEEP_ALIVE_SAFETY_FACTOR = 0.8;
  private static final long MS_PER_SECOND = 1_000;
  private static final HttpVersion VERSION = HttpVersion.HTTP_1_1;
  private static final int MAX_LINE_BYTES = 16_384;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Limit on what a server may send in an exchange besides the body, in bytes. */
  private static final int MAX_OVERHEAD_BYTES = 131_072;

  private final HttpClient client;
  private final String connectionPoolKey;
  private final HttpClientSettings limits;
  private final CarriedRequests carried = new CarriedRequests();
  private final ResponseDecoder decoder = new ResponseDecoder();
  private @Nullable Channel channel;
  private @Nullable Exchange exchange;
  private @Nullable HttpResponse head;
  private ExchangeResult.@Nullable Response undelivered;
  private byte[] body = new byte[0];
  private int bodyLength;
  private long receivedBytes;
  private boolean headReceived;
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

  /** Adds the handlers of this connection to the pipeline of its channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline
        .addLast(new ReceivedBytes())
        .addLast(decoder)
        .addLast(new HttpRequestEncoder())
        .addLast(this);
  }

  int bodyLength() {
    return bodyLength;
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
    carried.add(e.request().responseMatcher());
    requestWritten = false;
    receivedBytes = 0;
    headReceived = false;
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

  /** Checks whether the connection has carried a request with the same id lately. */
  boolean hasCarried(OutgoingRequest r) {
    return r.responseMatcher().requestId().filter(carried::include).isPresent();
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
      // Unsolicited bytes: later responses could not be matched to their requests.
      close();
      return;
    }
    if (undelivered != null) {
      reusable = false;
      return;
    }
    if (msg instanceof HttpResponse r) {
      startResponse(r);
    }
    if (msg instanceof HttpContent c) {
      appendBody(c.content());
      if (c.decoderResult().isFailure()) {
        failExchange("malformed response");
      } else if (msg instanceof LastHttpContent) {
        completeResponse();
      }
    }
  }

  /**
   * Limits the bytes that a server sends in an exchange, whether or not they are a response: some
   * bytes, such as blank lines before a response, never reach the decoder's output.
   */
  private void onReceived(int bytes) {
    if (exchange == null) {
      // Unsolicited bytes: later responses could not be matched to their requests.
      close();
      return;
    }
    reusable &= undelivered == null;
    receivedBytes += bytes;
    int maxBodyBytes = headReceived ? limits.maxResponseBytes() : 0;
    if (receivedBytes > maxBodyBytes + (long) MAX_OVERHEAD_BYTES) {
      failExchange("too many bytes without a complete response");
    }
  }

  private void startResponse(HttpResponse r) {
    if (r.decoderResult().isFailure()) {
      failExchange("malformed response");
      return;
    }
    head = r;
    headReceived = true;
    dropBody();
    Exchange e = exchange;
    if (e == null || isInformational(r)) {
      return;
    }
    if (!isFinal(r)) {
      failExchange("status " + r.status().code() + " is not that of a response");
      return;
    }
    attribute(r, e.request().responseMatcher());
  }

  /** Checks whether another response follows. After 101 the connection is no longer HTTP. */
  private static boolean isInformational(HttpResponse r) {
    return r.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && r.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
  }

  private static boolean isFinal(HttpResponse r) {
    return switch (r.status().codeClass()) {
      case SUCCESS, REDIRECTION, CLIENT_ERROR, SERVER_ERROR -> true;
      default -> false;
    };
  }

  private void attribute(HttpResponse r, ResponseMatcher matcher) {
    int status = r.status().code();
    ResponseOwner owner = matcher.ownerOf(status, r.headers(), carried);
    if (owner == ResponseOwner.UNKNOWN) {
      fail(new ExchangeResult.Unattributed(status));
      return;
    }
    skippingResponse = owner == ResponseOwner.ANOTHER;
    reusable &= owner.allowsReuse();
  }

  private void appendBody(ByteBuf content) {
    int n = content.readableBytes();
    if (skippingResponse || n == 0) {
      return;
    }
    if (bodyLength + n > limits.maxResponseBytes()) {
      failExchange("response too large");
      return;
    }
    if (bodyLength + n > body.length) {
      body = Arrays.copyOf(body, Math.max(bodyLength + n, body.length * 2));
    }
    content.readBytes(body, bodyLength, n);
    bodyLength += n;
    client.addBuffered(this, n);
  }

  private void dropBody() {
    client.removeBuffered(this, bodyLength);
    body = new byte[0];
    bodyLength = 0;
  }

  private void completeResponse() {
    HttpResponse r = head;
    Exchange e = exchange;
    if (r == null || e == null || connectionFailed) {
      return;
    }
    if (isInformational(r)) {
      return;
    }
    if (skippingResponse) {
      e.recordSkippedResponse(r.status().code());
      client.recordSkippedResponse();
      return;
    }
    if (!isOpen() && !requestWritten) {
      // The response has no length, and the connection has ended under the request. A reset that
      // the write found looks like a connection that the server closed.
      return;
    }
    reusable &= requestWritten && HttpUtil.isKeepAlive(r);
    readKeepAlive(r);
    // The read may hold more bytes: a request that the result leads to must not meet them.
    undelivered =
        new ExchangeResult.Response(
            r.status().code(), r.headers(), Arrays.copyOf(body, bodyLength));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    deliver();
    ctx.fireChannelReadComplete();
  }

  private void deliver() {
    Exchange e = exchange;
    ExchangeResult.Response response = undelivered;
    if (e == null || response == null) {
      return;
    }
    undelivered = null;
    reusable &= !decoder.holdsBytes();
    release();
    e.complete(response);
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

  /** Returns the connection to the pool, or closes it if it can't be reused. */
  private void release() {
    exchange = null;
    head = null;
    dropBody();
    idleSinceMs = client.now();
    if (reusable && isOpen()) {
      client.addIdle(this);
    } else {
      close();
    }
  }

  void failExchange(String cause) {
    fail(new ExchangeResult.Incomplete(cause));
  }

  /** Ends the exchange. Nothing that follows a complete response changes its result. */
  private void fail(ExchangeResult result) {
    if (undelivered != null) {
      reusable = false;
      deliver();
      return;
    }
    Exchange e = exchange;
    exchange = null;
    dropBody();
    reusable = false;
    close();
    if (e != null) {
      e.complete(result);
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

  /** Decodes responses, and tells whether bytes are left. Confined to the event loop. */
  private final class ResponseDecoder extends HttpResponseDecoder {
    ResponseDecoder() {
      super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    boolean holdsBytes() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage m) {
      boolean toHead = exchange != null && exchange.request().method().equals(HttpMethod.HEAD);
      return toHead || super.isContentAlwaysEmpty(m);
    }
  }

  /** Counts the bytes that arrive, before they are decoded. Confined to the event loop. */
  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (msg instanceof ByteBuf bytes) {
        onReceived(bytes.readableBytes());
      }
      ctx.fireChannelRead(msg);
    }
  }
}
