package dev.cactusstack.gateway.callers;

import dev.cactusstack.model.site.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
 * A connection of a caller, with HTTP/1.1 pipelining.
 *
 * <p>A request runs as soon as it is complete. Responses are sent in the order of the requests.
 * When the caller closes the connection, its running requests are cancelled. Invariant: while a
 * caller goes on reading responses that it has not received, the connection counts as used.
 * Confined to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_PIPELINED = 32;
  private static final long CLOSE_DELAY_MS = 1_000;
  private static final long FIRST_REQUEST_WAIT_MS = 500;

  private final CallerListener listener;
  private final Channel channel;
  private final CallerLimits limits;
  private final Deque<PipelinedRequest> pipeline = new ArrayDeque<>();
  private @Nullable HttpRequest head;
  private byte[] body = new byte[0];
  private int bodyLength;
  private boolean rejected;
  private boolean closing;
  private boolean ignoresRequests;
  private boolean servedRequest;
  private final long openedAtMs;
  private long lastActivityMs;
  private long lastUnsentBytes;
  private long headReceivedMs;

  CallerConnection(CallerListener listener, Channel channel, CallerLimits limits) {
    this.listener = listener;
    this.channel = channel;
    this.limits = limits;
    this.openedAtMs = listener.now();
    this.lastActivityMs = openedAtMs;
  }

  int inFlight() {
    return pipeline.size() + (head != null ? 1 : 0);
  }

  /** Checks whether a part of a response waits for the caller to read. */
  boolean hasUnsentResponses() {
    return unsentBytes() > 0;
  }

  /** Returns a measure of what the caller has not read yet, which falls with each byte sent. */
  private long unsentBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    if (buffer == null) {
      return 0;
    }
    // A message that is sent in part counts as a whole in the sum.
    long unsentOfFirst = buffer.current() instanceof ByteBuf first ? first.readableBytes() : 0;
    return buffer.totalPendingWriteBytes() + unsentOfFirst;
  }

  /**
   * Closes the connection if no request is in flight and all responses are sent. A connection on
   * which no request has arrived yet stays open for a moment, because its first request is probably
   * on the way.
   */
  void closeIfUnused(long nowMs) {
    boolean awaitsFirstRequest = !servedRequest && nowMs - openedAtMs < FIRST_REQUEST_WAIT_MS;
    if (inFlight() == 0 && !hasUnsentResponses() && !closing && !awaitsFirstRequest) {
      channel.close();
    }
  }

  void closeIfTimedOut(CallerLimits l, long nowMs) {
    recordProgress(nowMs);
    boolean idle = inFlight() == 0 && nowMs - lastActivityMs > l.idleTimeoutMs();
    boolean stalled =
        head != null && pipeline.isEmpty() && nowMs - lastActivityMs > l.idleTimeoutMs();
    if (idle || stalled) {
      channel.close();
    }
  }

  /** Counts it as activity that the caller has read something since the last call. */
  private void recordProgress(long nowMs) {
    long unsent = unsentBytes();
    if (unsent < lastUnsentBytes) {
      lastActivityMs = nowMs;
    }
    lastUnsentBytes = unsent;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    lastActivityMs = listener.now();
    try {
      if (!closing && !ignoresRequests) {
        read(msg);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void read(Object msg) {
    if (msg instanceof HttpRequest r) {
      servedRequest = true;
      startRequest(r);
    }
    if (msg instanceof HttpContent c && head != null) {
      appendBody(c.content());
      if (c.decoderResult().isFailure()) {
        refuse(Refusal.MALFORMED);
      } else if (c instanceof LastHttpContent) {
        completeRequest();
      }
    }
  }

  private void startRequest(HttpRequest r) {
    head = r;
    headReceivedMs = lastActivityMs;
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

  private void appendBody(ByteBuf content) {
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

  /** Rejects a request that can't be read further, and closes the connection. */
  private void refuse(Refusal refusal) {
    rejected = true;
    head = null;
    var entry = new PipelinedRequest(true);
    pipeline.add(entry);
    closing = true;
    entry.response = CallerResponse.problem(refusal);
    flush();
  }

  private void completeRequest() {
    HttpRequest r = head;
    if (r == null) {
      return;
    }
    head = null;
    var request =
        new CallerRequest(
            r.method(), r.uri(), r.headers(), Arrays.copyOf(body, bodyLength), headReceivedMs);
    body = new byte[0];
    bodyLength = 0;
    var entry = new PipelinedRequest(!HttpUtil.isKeepAlive(r));
    pipeline.add(entry);
    if (pipeline.size() >= MAX_PIPELINED) {
      channel.config().setAutoRead(false);
    }
    entry.execution = dispatch(request, entry);
  }

  private RequestHandler.Cancellable dispatch(CallerRequest request, PipelinedRequest entry) {
    for (RequestHandler f : listener.handlers()) {
      Optional<RequestHandler.Cancellable> taken = f.tryHandle(request, a -> setResponse(entry, a));
      if (taken.isPresent()) {
        return taken.get();
      }
    }
    setResponse(entry, CallerResponse.problem(Refusal.NO_ROUTE));
    return RequestHandler.Cancellable.COMPLETED;
  }

  private void setResponse(PipelinedRequest entry, CallerResponse callerResponse) {
    entry.response = callerResponse;
    flush();
  }

  private void flush() {
    if (listener.draining()) {
      acceptNoMoreRequests();
    }
    boolean wrote = false;
    while (!pipeline.isEmpty() && channel.isActive()) {
      PipelinedRequest first = pipeline.peekFirst();
      CallerResponse a = first.response;
      if (a == null) {
        break;
      }
      pipeline.removeFirst();
      wrote = true;
      if (write(a, first.closesConnection)) {
        return;
      }
    }
    if (wrote) {
      channel.flush();
      channel.config().setAutoRead(pipeline.size() < MAX_PIPELINED && channel.isWritable());
    }
  }

  /** Makes the last request that has been accepted the last one of the connection. */
  private void acceptNoMoreRequests() {
    PipelinedRequest last = pipeline.peekLast();
    if (last != null && !last.closesConnection) {
      last.closesConnection = true;
      ignoresRequests = true;
      head = null;
    }
  }

  /** Writes a response; returns true if it is the last one of the connection. */
  private boolean write(CallerResponse a, boolean last) {
    lastActivityMs = listener.now();
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
    closing = true;
    m.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    cancelAll();
    // Keeps reading until the caller closes: closing a socket with unread bytes resets the
    // connection, and the response could be lost.
    channel.writeAndFlush(m).addListener((ChannelFutureListener) f -> closeAfterDelay());
    return true;
  }

  private void closeAfterDelay() {
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
    channel.eventLoop().schedule(() -> channel.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    channel.config().setAutoRead(pipeline.size() < MAX_PIPELINED && channel.isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelAll();
    listener.removeConnection(this);
    ctx.fireChannelInactive();
  }

  private void cancelAll() {
    for (PipelinedRequest t : pipeline) {
      t.execution.cancel();
    }
    pipeline.clear();
  }

  /** A request in the pipeline of the connection. */
  private static final class PipelinedRequest {
    private boolean closesConnection;
    private @Nullable CallerResponse response;
    private RequestHandler.Cancellable execution = RequestHandler.Cancellable.COMPLETED;

    PipelinedRequest(boolean closesConnection) {
      this.closesConnection = closesConnection;
    }
  }
}
