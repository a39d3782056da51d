package dev.cactusstack.host;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.limits.TokenBucket;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.callers.CallersServer;
import dev.cactusstack.host.callers.ForwardToken;
import dev.cactusstack.host.callers.IdempotencyKeyClaims;
import dev.cactusstack.host.control.ArrivalRateController;
import dev.cactusstack.host.control.ConfigurationController;
import dev.cactusstack.host.control.ControlLoop;
import dev.cactusstack.host.control.Controllers;
import dev.cactusstack.host.control.EditService;
import dev.cactusstack.host.control.MembershipController;
import dev.cactusstack.host.control.UpstreamsController;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.Metrics;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.host.operators.OperatorsServer;
import dev.cactusstack.host.operators.OperatorsView;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.link.KeyRing;
import dev.cactusstack.link.LinkCodec;
import dev.cactusstack.link.LinkKey;
import dev.cactusstack.link.LinkTransport;
import dev.cactusstack.model.Address;
import dev.cactusstack.settings.HostSettings;
import dev.cactusstack.storage.HttpClaimStore;
import dev.cactusstack.storage.HttpPlatformClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioWorker;

/**
 * An entry host: all its components, started and stopped together.
 *
 * <p>Invariant: during a graceful shutdown a host is first removed from look-up responses and
 * closes its ports last. Thread-safe.
 */
public final class EntryHost implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int LINK_BUDGET_BURST_SECONDS = 10;
  private static final long POLL_INTERVAL_MS = 20;

  private final HostSettings settings;
  private final Ticker ticker;
  private final XnioWorker worker;
  private final ControlLoop loop;
  private final LinkTransport transport;
  private final TokenBucket budget;
  private final BudgetedSender sender;
  private volatile @Nullable Controllers startedControllers;
  private final Controllers controllers;
  private final CallersServer callers;
  private final OperatorsServer operators;
  private volatile boolean closed;

  private EntryHost(
      HostSettings settings, Ticker ticker, InstantSource clock, LoadBalancingPolicy policy) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    Objects.requireNonNull(clock, "clock is null");
    worker = XnioWorkers.createDaemonWorker("control", 1);
    loop = new ControlLoop(settings.id().value(), ticker);
    var metrics = new Metrics();
    var caller = new HttpClient(worker, Optional.empty());
    Duration timeout = Duration.ofMillis(settings.platform().timeoutMs());
    var platform = new HttpPlatformClient(caller, settings.platform().address(), timeout);
    var claims = new HttpClaimStore(caller, settings.platform().address(), timeout);
    KeyRing keys = keyRing(settings);
    var receiver = new DeferredReceiver();
    transport = LinkTransport.open(new LinkCodec(keys), settings.link().address(), receiver);
    Member self = self(settings, clock.millis());
    budget =
        new TokenBucket(
            settings.link().maxBytesPerSecond(),
            (double) settings.link().maxBytesPerSecond() * LINK_BUDGET_BURST_SECONDS,
            ticker.millis());
    sender = new BudgetedSender(transport, budget, ticker, this::isInOtherDataCentre);
    var members = new MembershipController(self, sender, ticker, new Random(clock.millis()));
    var configuration =
        new ConfigurationController(
            platform, members, sender, loop, ticker, settings.platform().readIntervalMs());
    var upstreams =
        new UpstreamsController(
            platform, members, loop, ticker, policy, settings.requests().maxQueueLength());
    callers =
        new CallersServer(
            settings.callers(),
            settings.requests(),
            upstreams::view,
            new ForwardToken(settings.id(), keys, clock),
            new IdempotencyKeyClaims(claims, settings.requests().maxClaimsPerSecond(), ticker),
            metrics,
            ticker);
    var rates = new ArrivalRateController(callers.arrivals(), members, ticker);
    controllers = new Controllers(loop, members, configuration, upstreams, rates);
    startedControllers = controllers;
    receiver.setControllers(controllers);
    operators =
        new OperatorsServer(
            settings.operators(),
            settings.operators().tls().map(TlsContexts::load),
            new OperatorsView(settings.id(), configuration, members, upstreams, ticker),
            new EditService(platform, configuration),
            metrics);
    addGauges(metrics);
  }

  private void addGauges(Metrics metrics) {
    metrics.gauge(
        "cactusstack.link.sent.bytes",
        "Bytes sent to other hosts",
        transport,
        t -> t.sentByteCount());
    metrics.gauge(
        "cactusstack.link.rejected", "Datagrams rejected", transport, t -> t.rejectedDatagrams());
    metrics.gauge(
        "cactusstack.link.over.budget",
        "Datagrams dropped because the budget was exhausted",
        budget,
        b -> b.rejectedCount());
    metrics.gauge(
        "cactusstack.configuration.version",
        "Version of the configuration table in force",
        controllers.configuration(),
        c -> c.inForce().version());
  }

  private static KeyRing keyRing(HostSettings s) {
    return new KeyRing(s.link().keys().stream().map(k -> new LinkKey(k.id(), k.secret())).toList());
  }

  private static Member self(HostSettings s, long incarnation) {
    var info =
        new MemberInfo(
            1,
            s.dataCentre(),
            s.link().address(),
            s.callers().address(),
            s.operators().address(),
            0,
            false,
            List.of());
    return new Member(s.id(), incarnation, MemberStatus.ALIVE, info);
  }

  /**
   * Starts a host.
   *
   * @param settings its settings
   * @param ticker the monotonic clock
   * @param clock wall time
   * @param policy selects an upstream of a route
   * @return the running host, which may not have a configuration yet
   */
  public static EntryHost start(
      HostSettings settings, Ticker ticker, InstantSource clock, LoadBalancingPolicy policy) {
    var host = new EntryHost(settings, ticker, clock, policy);
    host.loop.start();
    host.callers.start();
    host.operators.start();
    return host;
  }

  /**
   * Returns the settings.
   *
   * @return the settings
   */
  public HostSettings settings() {
    return settings;
  }

  /**
   * Returns the address for callers.
   *
   * @return the address
   */
  public Address callerAddress() {
    return settings.callers().address();
  }

  /**
   * Returns the address for operators.
   *
   * @return the address
   */
  public Address operatorAddress() {
    return settings.operators().address();
  }

  /**
   * Returns the host's controllers.
   *
   * @return the controllers
   */
  public Controllers controllers() {
    return controllers;
  }

  /**
   * Returns the bytes sent to other hosts since the start.
   *
   * @return the count
   */
  public long linkBytesSent() {
    return transport.sentByteCount();
  }

  /**
   * Returns the bytes sent to hosts of other data centres since the start.
   *
   * @return the count
   */
  public long crossDataCentreBytesSent() {
    return sender.bytesToOtherDataCentres();
  }

  /**
   * Returns how many messages to other hosts were dropped because the budget was exhausted.
   *
   * @return the count
   */
  public long linkMessagesDropped() {
    return budget.rejectedCount();
  }

  private boolean isInOtherDataCentre(Address link) {
    Controllers c = startedControllers;
    return c != null
        && c.members().members().values().stream()
            .anyMatch(
                m ->
                    m.info().link().equals(link)
                        && !m.info().dataCentre().equals(settings.dataCentre()));
  }

  /**
   * Waits until the host has a configuration and can serve at least one route.
   *
   * @param timeoutMs the maximum wait in milliseconds
   * @return false if the timeout passed first
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public boolean awaitReady(long timeoutMs) throws InterruptedException {
    long deadlineMs = ticker.millis() + timeoutMs;
    while (!controllers.upstreams().view().canServe()) {
      if (ticker.millis() >= deadlineMs) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    return true;
  }

  /**
   * Shuts down gracefully: the host is removed from look-up responses, waits until the responses
   * that callers hold have expired and no request is in flight, and then closes its ports.
   *
   * @return the number of requests aborted because the drain timeout passed
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public int shutDownGracefully() throws InterruptedException {
    LOG.atInfo().log(
        "%s",
        Event.named("leaving").with("host", settings.id()).with("in_flight", callers.inFlight()));
    controllers.announceLeaving();
    callers.beginDrain();
    TimeUnit.MILLISECONDS.sleep(settings.callers().entriesTtlMs());
    long deadlineMs = ticker.millis() + settings.requests().drainTimeoutMs();
    while (callers.inFlight() > 0 && ticker.millis() < deadlineMs) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    int abortedRequests = callers.inFlight();
    close();
    LOG.atInfo().log(
        "%s", Event.named("left").with("host", settings.id()).with("cut_off", abortedRequests));
    return abortedRequests;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the count
   */
  public int inFlight() {
    return callers.inFlight();
  }

  /** Stops immediately, as in a crash: requests in flight are aborted. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    callers.close();
    operators.close();
    loop.close();
    transport.close();
    worker.shutdown();
  }
}
