package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.RetryBudget;
import dev.cactusstack.host.observe.Metrics;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.settings.CallerListenerSettings;
import dev.cactusstack.settings.RequestSettings;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.util.Objects;
import java.util.function.Supplier;
import org.xnio.Options;

/** The port for callers: size and framing checks, look-ups, then requests. Thread-safe. */
public final class CallersServer implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_POOLED_BUFFERS = 256;
  private static final int THREAD_LOCAL_BUFFERS = 8;
  private static final int RETRY_BUDGET_RESERVE = 50;
  private static final int HEDGE_BUDGET_RESERVE = 20;

  /** Room above the settings' limit, so that a typed answer can be given instead of a cut. */
  private static final int HEADER_LIMIT_FACTOR = 4;

  private static final int MAX_HEADERS = 400;

  private final Undertow server;
  private final InFlightFilter inFlight;
  private final ArrivalCounter arrivals = new ArrivalCounter();

  /**
   * Creates a server that is not yet started.
   *
   * @param callers the port's settings
   * @param requests how requests are treated
   * @param view reads the routing snapshot in force
   * @param token marks requests that are passed on
   * @param keyed runs requests with an {@code Idempotency-Key} once
   * @param metrics histograms and counters
   * @param ticker the clock
   */
  public CallersServer(
      CallerListenerSettings callers,
      RequestSettings requests,
      Supplier<RoutingView> view,
      ForwardToken token,
      IdempotencyKeyClaims keyed,
      Metrics metrics,
      Ticker ticker) {
    Objects.requireNonNull(callers, "callers is null");
    var buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, THREAD_LOCAL_BUFFERS);
    var pools = new ConnectionPools(ticker, buffers, requests.connectTimeoutMs());
    metrics.gauge(
        "cactusstack.upstream.connections.opened",
        "Connections opened to upstreams and other hosts",
        pools,
        ConnectionPools::openedCount);
    var path =
        new DataPathContext(
            view,
            pools,
            token,
            metrics,
            new RetryBudget(requests.retryRatio(), RETRY_BUDGET_RESERVE),
            new RetryBudget(requests.hedgeRatio(), HEDGE_BUDGET_RESERVE),
            keyed,
            arrivals,
            new RemoteRouteLoads(ticker),
            requests,
            ticker,
            DataPathContext.SERVING_RANDOM);
    inFlight = new InFlightFilter(chain(callers, path));
    server = server(callers, buffers);
  }

  private static HttpHandler chain(CallerListenerSettings callers, DataPathContext path) {
    HttpHandler service = new HttpContinueReadHandler(new ServiceFilter(path));
    HttpHandler entries = new EntryLookupFilter(callers, path.view(), path.random(), service);
    return new FramingFilter(callers, entries);
  }

  private Undertow server(CallerListenerSettings s, DefaultByteBufferPool buffers) {
    return Undertow.builder()
        .addHttpListener(s.address().port(), s.address().ip())
        .setByteBufferPool(buffers)
        .setIoThreads(s.ioThreads())
        .setWorkerOption(Options.WORKER_TASK_CORE_THREADS, 1)
        .setWorkerOption(Options.WORKER_TASK_MAX_THREADS, 1)
        .setSocketOption(Options.TCP_NODELAY, true)
        .setSocketOption(Options.REUSE_ADDRESSES, true)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, s.receiveTimeoutMs())
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, s.idleTimeoutMs())
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, s.maxHeaderBytes() * HEADER_LIMIT_FACTOR)
        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, s.maxBodyBytes())
        .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
        .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
        .setServerOption(UndertowOptions.ALLOW_EQUALS_IN_COOKIE_VALUE, true)
        .setServerOption(UndertowOptions.DECODE_URL, false)
        .setHandler(inFlight)
        .build();
  }

  /** Starts to serve. */
  public void start() {
    server.start();
  }

  /**
   * Returns the counter of callers' requests.
   *
   * @return the counter
   */
  public ArrivalCounter arrivals() {
    return arrivals;
  }

  /** Asks callers to close their connections after the answers they wait for. */
  public void beginDrain() {
    inFlight.beginDrain();
  }

  /**
   * Returns the number of requests that have no whole answer yet.
   *
   * @return the count
   */
  public int inFlight() {
    return inFlight.count();
  }

  @Override
  public void close() {
    server.stop();
  }
}
