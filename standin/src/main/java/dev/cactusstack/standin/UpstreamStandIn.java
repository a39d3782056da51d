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
 * An upstream on loopback with slots, a queue, cold start and faults.
 *
 * <p>Paths: {@code /bytes/N} answers N bytes; any other answers a JSON object with the request's
 * {@code X-Request-Id}. {@code PUT /standin/condition} changes the faults. Thread-safe.
 */
public final class UpstreamStandIn implements AutoCloseable {
  private static final HttpString LOAD = new HttpString("Cactusstack-Load");
  private static final HttpString DEADLINE = new HttpString("Cactusstack-Deadline-Ms");
  private static final HttpString RETRY = new HttpString("Cactusstack-Retry");
  private static final HttpString OUTCOME = new HttpString("Cactusstack-Outcome");
  private static final HttpString TIME_SPENT = new HttpString("X-Standin-Micros");
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final long MAX_BODY_BYTES = 1L << 40;
  private static final String BYTES_PATH = "/bytes/";

  private final UpstreamTraits traits;
  private final Undertow server;
  private final SlotQueue slots;
  private final RunLog runs;
  private final Random random;
  private final Set<Work> running = ConcurrentHashMap.newKeySet();
  private final AtomicInteger warmUpLeft;
  private final AtomicLong ran = new AtomicLong();
  private final AtomicLong rejectedCold = new AtomicLong();
  private volatile UpstreamCondition condition = UpstreamCondition.HEALTHY;

  private UpstreamStandIn(
      UpstreamTraits traits,
      int port,
      XnioWorker worker,
      RunLog runs,
      Random random,
      boolean cold) {
    this.traits = Objects.requireNonNull(traits, "traits is null");
    this.runs = Objects.requireNonNull(runs, "runs is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.slots = new SlotQueue(traits.slots());
    this.warmUpLeft = new AtomicInteger(cold ? traits.warmUpRuns() : 0);
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
   * Starts a stand-in on loopback.
   *
   * @param traits what it is
   * @param port the port, 0 for any
   * @param worker its threads, which may be shared
   * @param runs counts what it runs
   * @param random draws the times of runs; used by several threads
   * @param cold whether it starts cold
   * @return the running stand-in
   */
  public static UpstreamStandIn start(
      UpstreamTraits traits,
      int port,
      XnioWorker worker,
      RunLog runs,
      Random random,
      boolean cold) {
    var u = new UpstreamStandIn(traits, port, worker, runs, random, cold);
    u.server.start();
    return u;
  }

  /**
   * Returns what it is.
   *
   * @return the traits
   */
  public UpstreamTraits traits() {
    return traits;
  }

  /**
   * Returns its address.
   *
   * @return {@code IP:PORT}
   */
  public String address() {
    var a = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return "127.0.0.1:" + a.getPort();
  }

  /**
   * Changes its faults.
   *
   * @param next the faults from now on
   */
  public void become(UpstreamCondition next) {
    condition = Objects.requireNonNull(next, "next is null");
    running.forEach(w -> w.changeSpeed(next.slowdown()));
  }

  /** Makes it cold, without a sign. */
  public void turnCold() {
    warmUpLeft.set(traits.warmUpRuns());
  }

  /**
   * Returns its faults.
   *
   * @return the faults it shows now
   */
  public UpstreamCondition condition() {
    return condition;
  }

  /**
   * Returns the requests in flight, queued ones included.
   *
   * @return the true count
   */
  public int inFlight() {
    return slots.inFlight();
  }

  /**
   * Returns the most requests in flight since the last reset.
   *
   * @return the true count
   */
  public int peak() {
    return slots.peak();
  }

  /**
   * Returns the requests that arrived when every slot was taken, since the last reset.
   *
   * @return the true count
   */
  public long overSlots() {
    return slots.overSlots();
  }

  /**
   * Returns the requests that were run.
   *
   * @return the count since the start
   */
  public long ran() {
    return ran.get();
  }

  /**
   * Returns the requests refused because it was cold.
   *
   * @return the count since the start
   */
  public long rejectedCold() {
    return rejectedCold.get();
  }

  /**
   * Tells whether it is cold.
   *
   * @return true until it has run enough
   */
  public boolean isCold() {
    return warmUpLeft.get() > 0;
  }

  /** Forgets the peak and the count of requests over its slots. */
  public void resetCounts() {
    slots.resetCounts();
  }

  @Override
  public void close() {
    server.stop();
  }

  private void handle(HttpServerExchange x) {
    if (x.getRequestPath().equals("/standin/condition")) {
      changeCondition(x);
      return;
    }
    UpstreamCondition c = condition;
    if (c.shedding()) {
      refuse(x);
    } else if (c.failFast()) {
      x.setStatusCode(500);
      x.getResponseSender().send("failing fast");
    } else {
      admit(x);
    }
  }

  private void admit(HttpServerExchange x) {
    if (isCold() && slots.inFlight() >= traits.coldBears()) {
      rejectedCold.incrementAndGet();
      slots.arrive(slots::depart);
      refuse(x);
      return;
    }
    long arrived = System.nanoTime();
    x.addResponseCommitListener(
        ex ->
            ex.getResponseHeaders()
                .put(TIME_SPENT, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrived)));
    x.dispatch(SameThreadExecutor.INSTANCE, () -> receiveBody(x));
  }

  private void refuse(HttpServerExchange x) {
    addLoad(x);
    x.setStatusCode(503);
    x.getResponseHeaders().put(OUTCOME, "not-run");
    x.getResponseSender().send("not run");
  }

  private void receiveBody(HttpServerExchange x) {
    slots.arrive(
        () -> {
          // A slot may become free on another connection's thread.
          x.getIoThread()
              .execute(() -> BodyCounter.count(x, bytes -> run(x, bytes), slots::depart));
        });
  }

  private void run(HttpServerExchange x, long bodyBytes) {
    ran.incrementAndGet();
    String id = x.getRequestHeaders().getFirst(REQUEST_ID);
    runs.ran(id == null ? "" : id);
    warmUpLeft.updateAndGet(n -> Math.max(0, n - 1));
    boolean silent = condition.silent();
    var work = new Work(x.getIoThread(), drawMs(), condition.slowdown());
    running.add(work);
    work.start(
        () -> {
          running.remove(work);
          if (silent) {
            slots.depart();
          } else {
            answer(x, id, bodyBytes);
          }
        });
  }

  private double drawMs() {
    double gaussian;
    synchronized (random) {
      gaussian = random.nextGaussian();
    }
    return traits.serviceMs() * Math.exp(traits.spread() * gaussian);
  }

  private void answer(
      HttpServerExchange x, @org.jspecify.annotations.Nullable String id, long bodyBytes) {
    slots.depart();
    addLoad(x);
    String path = x.getRequestPath();
    if (path.startsWith(BYTES_PATH)) {
      GeneratedBody.send(x, Long.parseLong(path.substring(BYTES_PATH.length())), condition.cut());
      return;
    }
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    byte[] body =
        Json.toBytes(
            Json.newObject()
                .put("service", traits.service())
                .put("data_centre", traits.dataCentre())
                .put("upstream", address())
                .put("method", x.getRequestMethod().toString())
                .put("path", path)
                .put("request_id", id)
                .put("deadline_ms", x.getRequestHeaders().getFirst(DEADLINE))
                .put("retry", x.getRequestHeaders().contains(RETRY))
                .put("body_bytes", bodyBytes));
    if (condition.cut() || condition.stall()) {
      sendHalf(x, body, condition.cut());
      return;
    }
    x.getResponseSender().send(ByteBuffer.wrap(body));
  }

  private static void sendHalf(HttpServerExchange x, byte[] body, boolean thenClose) {
    x.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
    ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
    try {
      StreamSinkChannel sink = x.getResponseChannel();
      sink.write(half);
      sink.flush();
    } catch (java.io.IOException e) {
      IoUtils.safeClose(x.getConnection());
    }
    if (thenClose) {
      IoUtils.safeClose(x.getConnection());
    }
  }

  private void addLoad(HttpServerExchange x) {
    String state = condition.leaving() ? "leaving" : isCold() ? "cold" : "warm";
    x.getResponseHeaders()
        .put(
            LOAD,
            "in-flight=" + slots.inFlight() + ", slots=" + traits.slots() + ", state=" + state);
  }

  private void changeCondition(HttpServerExchange x) {
    x.getRequestReceiver()
        .receiveFullBytes(
            (ex, bytes) -> {
              JsonNode n = Json.parse(bytes).orElse(Json.newObject());
              if (n.path("cold").asBoolean()) {
                turnCold();
              }
              become(
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
