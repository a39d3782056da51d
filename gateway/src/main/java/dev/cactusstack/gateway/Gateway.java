package dev.cactusstack.gateway;

import dev.cactusstack.decisions.directory.DirectoryPolicy;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.gateway.callers.CallerListener;
import dev.cactusstack.gateway.callers.ForwardingContext;
import dev.cactusstack.gateway.callers.ForwardingHandler;
import dev.cactusstack.gateway.callers.MetricsHandler;
import dev.cactusstack.gateway.callers.RequestHandler;
import dev.cactusstack.gateway.control.ConfigurationController;
import dev.cactusstack.gateway.control.HostsController;
import dev.cactusstack.gateway.control.UpstreamsController;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.Figures;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.scheduling.Placement;
import dev.cactusstack.gateway.scheduling.Prober;
import dev.cactusstack.gateway.scheduling.Schedulers;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.UpstreamWire;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * An entry host: its ports, its controllers and its stop in good order.
 *
 * <p>Everything runs on one event loop, so nothing here takes a lock. Confined to that loop, but
 * for the constructor.
 */
public final class Gateway {
  private static final long SWEEP_MS = 1_000;
  private static final long DEAD_AFTER_MS = 3_500;
  private static final long ACCEPT_WHILE_LEAVING_MS = 3_000;
  private static final long LEAVING_CHECK_MS = 50;
  private static final long EXIT_MARGIN_MS = 500;
  private static final int ENOUGH_HOSTS = 2;
  private static final int MOST_HOSTS = 64;
  private static final long FIRST_ASKS = 1L << 40;
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long IDLE_CONNECTION_MS = 8_000;
  private static final int MAX_ANSWER_BYTES = 16 << 20;
  private static final double CROSS_DATA_CENTRE_MS = 12;
  private static final double CROSS_DATA_CENTRE_MS_PER_KB = 1;
  private static final double CONNECT_MS = 12;
  private static final double COLD_SHARE = 0.45;
  private static final double REPEAT_RATIO_SHARE = 0.9;
  private static final double REPEAT_ALLOWANCE_SHARE = 0.8;

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final Random random;
  private final ConfigurationController configuration;
  private final UpstreamsController upstreams;
  private final HostsController hosts;
  private final PeerTable peers;
  private final Link link;
  private final Placement placement;
  private final HttpClient client;
  private final CallerListener callers;
  private final CallerListener readiness;
  private final CallerListener directory;
  private final CallerListener metrics;
  private boolean leaving;

  /**
   * Creates a host that has not started.
   *
   * @param settings what the host is told
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where events are told
   * @param random spreads choices that need no reason
   * @param store what lasts
   * @param wire header fields
   * @param endpoints makes the filters for the site's questions to this host
   */
  public Gateway(
      GatewaySettings settings,
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      Random random,
      SiteStore store,
      UpstreamWire wire,
      Function<Gateway, Endpoints> endpoints) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.random = random;
    this.configuration =
        new ConfigurationController(loop, clock, log, store, this::readsConfiguration);
    this.upstreams = new UpstreamsController(loop, clock, log, store, configuration::inForce);
    this.peers = new PeerTable(settings.host(), DEAD_AFTER_MS, random);
    this.link = new Link(loop, log);
    var self =
        new HostRegistration(
            settings.host(),
            settings.dataCentre(),
            settings.callers(),
            settings.link(),
            settings.milliCores(),
            0);
    this.hosts =
        new HostsController(
            loop,
            clock,
            log,
            store,
            peers,
            link,
            configuration,
            self,
            random,
            () -> !configuration.failing() && !upstreams.failing(),
            () -> !upstreams.unread());
    GatewaySettings.Bounds b = settings.bounds();
    var figures = new Figures();
    var schedulerSettings =
        new SchedulerSettings(
            CROSS_DATA_CENTRE_MS,
            CROSS_DATA_CENTRE_MS_PER_KB,
            CONNECT_MS,
            COLD_SHARE,
            b.coldFactor(),
            b.coldSlack());
    this.client =
        new HttpClient(
            loop,
            new HttpClientSettings(CONNECT_TIMEOUT_MS, IDLE_CONNECTION_MS, false, MAX_ANSWER_BYTES),
            clock);
    var prober = new Prober(client, wire);
    var schedulers =
        new Schedulers(
            loop,
            clock,
            log,
            schedulerSettings,
            upstreams,
            prober,
            () -> peers.anotherHostReachesStore(clock.getAsLong()));
    this.placement =
        new Placement(
            loop,
            clock,
            log,
            link,
            peers,
            schedulers,
            settings.host(),
            random.nextLong(FIRST_ASKS));
    var budget =
        new ForwardingContext.RetryBudget(
            b.repeatWindowMs(),
            b.repeatRatio() * REPEAT_RATIO_SHARE,
            () -> b.repeatAllowance() * REPEAT_ALLOWANCE_SHARE / peers.size());
    var tools =
        new ForwardingContext(
            settings.dataCentre(), loop, clock, log, wire, client, placement, budget, figures);
    Endpoints e = endpoints.apply(this);
    this.callers = port(List.of(new ForwardingHandler(configuration, tools)));
    this.readiness = port(List.of(e.readiness()));
    this.directory = port(List.of(e.directory()));
    this.metrics = port(List.of(new MetricsHandler(figures)));
    count(figures, store, prober);
  }

  private void count(Figures f, SiteStore store, Prober prober) {
    f.total("cactusstack_store_calls", "Calls of the store", store::calls);
    f.total("cactusstack_store_failures", "Calls of the store without result", store::failedCalls);
    f.total("cactusstack_upstream_connections", "Connections opened", client::openedConnections);
    f.total("cactusstack_upstream_probes", "Probes of upstreams", prober::sent);
    f.total("cactusstack_link_messages", "Messages sent to other hosts", link::sent);
    f.total("cactusstack_log_lines_dropped", "Log lines that were dropped", log::dropped);
  }

  /**
   * The filters for the site's questions to a host.
   *
   * @param readiness tells whether the host is ready
   * @param directory tells callers which addresses to use
   */
  public record Endpoints(RequestHandler readiness, RequestHandler directory) {}

  private CallerListener port(List<RequestHandler> chain) {
    return new CallerListener(loop, chain, configuration::limits, clock);
  }

  /**
   * Opens the ports and begins to follow the store.
   *
   * @return completes when all ports are open
   */
  public CompletableFuture<Void> start() {
    var opened = new CompletableFuture<Void>();
    callers
        .open(settings.callers())
        .addListener(f -> failIf(f.cause(), opened, settings.callers()));
    readiness
        .open(settings.readiness())
        .addListener(f -> failIf(f.cause(), opened, settings.readiness()));
    directory
        .open(settings.directory())
        .addListener(f -> failIf(f.cause(), opened, settings.directory()));
    metrics
        .open(settings.metrics())
        .addListener(f -> failIf(f.cause(), opened, settings.metrics()));
    link.open(settings.link(), this::received)
        .addListener(
            f -> {
              failIf(f.cause(), opened, settings.link());
              opened.complete(null);
            });
    configuration.start(upstreams::configurationChanged, hosts::tellOfChange);
    hosts.start();
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    return opened;
  }

  private static void failIf(
      @org.jspecify.annotations.Nullable Throwable cause,
      CompletableFuture<Void> opened,
      Address address) {
    if (cause != null) {
      opened.completeExceptionally(
          new IllegalStateException("can't listen on " + address + ": free the port", cause));
    }
  }

  private void received(LinkMessage m, Address from) {
    if (m instanceof LinkMessage.Beat b) {
      hosts.heard(b, from);
    } else if (m instanceof LinkMessage.Rules r) {
      configuration.told(r.known());
    } else if (m instanceof LinkMessage.RulesWanted w) {
      hosts.wanted(w, from);
    } else {
      placement.received(m, from);
    }
  }

  private boolean readsConfiguration() {
    return hosts.reads();
  }

  private void sweep() {
    client.closeIdleConnections();
    callers.closeTimedOutConnections();
    readiness.closeTimedOutConnections();
    directory.closeTimedOutConnections();
    metrics.closeTimedOutConnections();
  }

  /**
   * Tells whether callers should use this host.
   *
   * @return false before a configuration is known and once the host leaves
   */
  public boolean ready() {
    return !leaving && configuration.inForce().isPresent();
  }

  /**
   * Chooses the hosts that a caller is told to use.
   *
   * @param dataCentre the caller's data centre
   * @return where to connect, never empty while this host is ready
   */
  public List<Address> addresses(String dataCentre) {
    return new DirectoryPolicy(ENOUGH_HOSTS, MOST_HOSTS)
        .choose(peers.usableHosts(clock.getAsLong()), dataCentre, random).stream()
            .map(HostRegistration::callerAddress)
            .toList();
  }

  /**
   * Leaves in good order: out of the directory at once, serving for as long as callers may still
   * come, then until nothing is in flight.
   *
   * @return completes when the process can end
   */
  public CompletableFuture<Void> leave() {
    var left = new CompletableFuture<Void>();
    if (leaving) {
      return left;
    }
    leaving = true;
    log.event("leaving").with("in_flight", callers.inFlight()).write();
    hosts.leave();
    callers.startDraining();
    loop.schedule(callers::stopListening, ACCEPT_WHILE_LEAVING_MS, TimeUnit.MILLISECONDS);
    long startMs = clock.getAsLong();
    leaveWhenQuiet(left, startMs);
    return left;
  }

  private void leaveWhenQuiet(CompletableFuture<Void> left, long startMs) {
    long passed = clock.getAsLong() - startMs;
    boolean accepting = passed < ACCEPT_WHILE_LEAVING_MS;
    if (!accepting) {
      callers.closeUnusedConnections();
    }
    boolean quiet = !accepting && callers.inFlight() == 0;
    if (quiet || passed > settings.bounds().graceMs() - EXIT_MARGIN_MS) {
      log.event("left").with("in_flight", callers.inFlight()).with("after_ms", passed).write();
      left.complete(null);
      return;
    }
    loop.schedule(() -> leaveWhenQuiet(left, startMs), LEAVING_CHECK_MS, TimeUnit.MILLISECONDS);
  }
}
