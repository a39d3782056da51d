package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.Json;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

/**
 * Simulates an upstream on loopback, with request slots, a queue, a cold start and faults.
 *
 * <p>Paths: {@code /bytes/N} returns N bytes; any other path returns a JSON object with the
 * request's {@code X-Request-Id}. {@code PUT /standin/condition} changes the faults. Thread-safe.
 */
public final class UpstreamStandIn implements AutoCloseable {
  private static final HttpString LOAD_HEADER = new HttpString("Cactusstack-Load");
  private static final HttpString DEADLINE_HEADER = new HttpString("Cactusstack-Deadline-Ms");
  private static final HttpString RETRY_HEADER = new HttpString("Cactusstack-Retry");
  private static final HttpString OUTCOME_HEADER = new HttpString("Cactusstack-Outcome");
  private static final HttpString PROCESSING_MICROS_HEADER = new HttpString("X-Standin-Micros");
  private static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");
  private static final long MAX_BODY_BYTES = 1L << 40;
  private static final String BYTES_PATH = "/bytes/";

  private final UpstreamSpec spec;
  private final Undertow server;
  private final SlotQueue slotQueue;
  private final ExecutionCounter executionCounter;
  private final Random random;
  private final Set<Execution> activeExecutions = ConcurrentHashMap.newKeySet();
  private final AtomicInteger warmUpRemaining;
  private final AtomicLong executedRequests = new AtomicLong();
  private final AtomicLong rejectedWhileCold = new AtomicLong();
  private volatile UpstreamCondition condition = UpstreamCondition.HEALTHY;

  private UpstreamStandIn(
      UpstreamSpec spec,
      int port,
      XnioWorker worker,
      ExecutionCounter executionCounter,
      Random random,
      boolean cold) {
    this.spec = Objects.requireNonNull(spec, "traits is null");
    this.executionCounter = Objects.requireNonNull(executionCounter, "runs is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.slotQueue = new SlotQueue(spec.slots());
    this.warmUpRemaining = new AtomicInteger(cold ? spec.warmUpRequests() : 0);
    this.server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setWorker(worker)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setHandler(this::handle)
            .build();
  }

  /**
   * Starts an upstream stand-in on loopback.
   *
   * @param spec the specification of the upstream
   * @param port the port to listen on, 0 for any free port
   * @param worker the I/O threads, which may be shared
   * @param executionCounter counts the executions of each request
   * @param random samples the service times; used by several threads
   * @param cold whether it starts cold
   * @return the running stand-in
   */
  public static UpstreamStandIn start(
      UpstreamSpec spec,
      int port,
      XnioWorker worker,
      ExecutionCounter executionCounter,
      Random random,
      boolean cold) {
    var u = new UpstreamStandIn(spec, port, worker, executionCounter, random, cold);
    u.server.start();
    return u;
  }

  /**
   * Returns the specification of the upstream.
   *
   * @return the specification
   */
  public UpstreamSpec spec() {
    return spec;
  }

  /**
   * Returns the address that the stand-in listens on.
   *
   * @return {@code IP:PORT}
   */
  public String address() {
    var a = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return "127.0.0.1:" + a.getPort();
  }

  /**
   * Replaces the simulated faults.
   *
   * @param newCondition the faults to simulate from now on
   */
  public void setCondition(UpstreamCondition newCondition) {
    condition = Objects.requireNonNull(newCondition, "next is null");
    activeExecutions.forEach(w -> w.setSlowdown(newCondition.slowdown()));
  }

  /** Makes the upstream cold without announcing it. */
  public void makeCold() {
    warmUpRemaining.set(spec.warmUpRequests());
  }

  /**
   * Returns the simulated faults.
   *
   * @return the current faults
   */
  public UpstreamCondition condition() {
    return condition;
  }

  /**
   * Returns the number of requests in flight, including queued ones.
   *
   * @return the actual count
   */
  public int inFlight() {
    return slotQueue.inFlight();
  }

  /**
   * Returns the highest number of requests in flight since the last reset.
   *
   * @return the actual count
   */
  public int peakInFlight() {
    return slotQueue.peakInFlight();
  }

  /**
   * Returns the number of requests since the last reset that arrived while all slots were busy.
   *
   * @return the actual count
   */
  public long arrivalsOverCapacity() {
    return slotQueue.arrivalsOverCapacity();
  }

  /**
   * Returns the number of executed requests.
   *
   * @return the count since the start
   */
  public long executedRequests() {
    return executedRequests.get();
  }

  /**
   * Returns the number of requests rejected because the upstream was cold.
   *
   * @return the count since the start
   */
  public long rejectedWhileCold() {
    return rejectedWhileCold.get();
  }

  /**
   * Returns whether the upstream is cold.
   *
   * @return true until it has executed its warm-up requests
   */
  public boolean isCold() {
    return warmUpRemaining.get() > 0;
  }

  /** Resets the peak and the count of requests that arrived over capacity. */
  public void resetCounters() {
    slotQueue.resetCounters();
  }

  @Override
  public void close() {
    server.stop();
  }

  private void handle(HttpServerExchange x) {
    if (x.getRequestPath().equals("/standin/condition")) {
      updateCondition(x);
      return;
    }
    UpstreamCondition c = condition;
    if (c.shedding()) {
      reject(x);
    } else if (c.failFast()) {
      x.setStatusCode(500);
      x.getResponseSender().send("failing fast");
    } else {
      admit(x);
    }
  }

  private void admit(HttpServerExchange x) {
    if (isCold() && slotQueue.inFlight() >= spec.coldConcurrencyLimit()) {
      rejectedWhileCold.incrementAndGet();
      slotQueue.submit(slotQueue::release);
      reject(x);
      return;
    }
    long arrivalNanos = System.nanoTime();
    x.addResponseCommitListener(
        ex ->
            ex.getResponseHeaders()
                .put(
                    PROCESSING_MICROS_HEADER,
                    TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivalNanos)));
    x.dispatch(SameThreadExecutor.INSTANCE, () -> receiveBody(x));
  }

  private void reject(HttpServerExchange x) {
    addLoadHeader(x);
    x.setStatusCode(503);
    x.getResponseHeaders().put(OUTCOME_HEADER, "not-run");
    x.getResponseSender().send("not run");
  }

  private void receiveBody(HttpServerExchange x) {
    slotQueue.submit(
        () -> {
          // A slot may become free on another connection's thread.
          x.getIoThread()
              .execute(
                  () ->
                      BodyCounter.count(x, bytes -> startExecution(x, bytes), slotQueue::release));
        });
  }

  private void startExecution(HttpServerExchange x, long bodyBytes) {
    executedRequests.incrementAndGet();
    String id = x.getRequestHeaders().getFirst(REQUEST_ID_HEADER);
    executionCounter.recordExecution(id == null ? "" : id);
    warmUpRemaining.updateAndGet(n -> Math.max(0, n - 1));
    boolean neverResponds = condition.unresponsive();
    var execution = new Execution(x.getIoThread(), sampleServiceMs(), condition.slowdown());
    activeExecutions.add(execution);
    execution.start(
        () -> {
          activeExecutions.remove(execution);
          if (neverResponds) {
            slotQueue.release();
          } else {
            respond(x, id, bodyBytes);
          }
        });
  }

  private double sampleServiceMs() {
    double gaussian;
    synchronized (random) {
      gaussian = random.nextGaussian();
    }
    return spec.medianServiceMs() * Math.exp(spec.serviceTimeSigma() * gaussian);
  }

  private void respond(
      HttpServerExchange x, @org.jspecify.annotations.Nullable String id, long bodyBytes) {
    slotQueue.release();
    addLoadHeader(x);
    String path = x.getRequestPath();
    if (path.startsWith(BYTES_PATH)) {
      GeneratedBody.send(
          x, Long.parseLong(path.substring(BYTES_PATH.length())), condition.truncatesResponses());
      return;
    }
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    byte[] body =
        Json.toBytes(
            Json.newObject()
                .put("service", spec.service())
                .put("data_centre", spec.dataCentre())
                .put("upstream", address())
                .put("method", x.getRequestMethod().toString())
                .put("path", path)
                .put("request_id", id)
                .put("deadline_ms", x.getRequestHeaders().getFirst(DEADLINE_HEADER))
                .put("retry", x.getRequestHeaders().contains(RETRY_HEADER))
                .put("body_bytes", bodyBytes));
    if (condition.truncatesResponses() || condition.stallsResponses()) {
      sendHalfBody(x, body, condition.truncatesResponses());
      return;
    }
    x.getResponseSender().send(ByteBuffer.wrap(body));
  }

  private static void sendHalfBody(HttpServerExchange x, byte[] body, boolean closeAfterwards) {
    x.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
    ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
    try {
      StreamSinkChannel sink = x.getResponseChannel();
      sink.write(half);
      sink.flush();
    } catch (java.io.IOException e) {
      IoUtils.safeClose(x.getConnection());
    }
    if (closeAfterwards) {
      IoUtils.safeClose(x.getConnection());
    }
  }

  private void addLoadHeader(HttpServerExchange x) {
    String state = condition.leaving() ? "leaving" : isCold() ? "cold" : "warm";
    x.getResponseHeaders()
        .put(
            LOAD_HEADER,
            "in-flight=" + slotQueue.inFlight() + ", slots=" + spec.slots() + ", state=" + state);
  }

  private void updateCondition(HttpServerExchange x) {
    x.getRequestReceiver()
        .receiveFullBytes(
            (ex, bytes) -> {
              JsonNode n = Json.parse(bytes).orElse(Json.newObject());
              if (n.path("cold").asBoolean()) {
                makeCold();
              }
              setCondition(
                  new UpstreamCondition(
                      n.path("slowdown").asDouble(1),
                      n.path("fail_fast").asBoolean(),
                      n.path("shedding").asBoolean(),
                      n.path("leaving").asBoolean(),
                      n.path("silent").asBoolean(),
                      n.path("cut").asBoolean(),
                      n.path("stall").asBoolean()));
              ex.getResponseSender().send("changed");
            });
  }
}
