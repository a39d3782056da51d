package dev.cactusstack.gateway;

import dev.cactusstack.decisions.directory.DirectoryPolicy;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.decisions.placing.UpstreamNotices;
import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.gateway.callers.CallerAuthentication;
import dev.cactusstack.gateway.callers.CallerListener;
import dev.cactusstack.gateway.callers.ForwardingContext;
import dev.cactusstack.gateway.callers.ForwardingHandler;
import dev.cactusstack.gateway.callers.MetricsHandler;
import dev.cactusstack.gateway.callers.RequestHandler;
import dev.cactusstack.gateway.control.ConfigurationContact;
import dev.cactusstack.gateway.control.ConfigurationController;
import dev.cactusstack.gateway.control.HostsController;
import dev.cactusstack.gateway.control.RolloutController;
import dev.cactusstack.gateway.control.UpstreamsController;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.LimitShares;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.scheduling.LocalSchedulers;
import dev.cactusstack.gateway.scheduling.NoticeReader;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.QuotaClient;
import dev.cactusstack.gateway.scheduling.QuotaOwners;
import dev.cactusstack.gateway.scheduling.UpstreamProber;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.UpstreamHeaders;
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
 * An entry host: creates and connects its ports and controllers, and drains them on shutdown.
 *
 * <p>Everything runs on one event loop, so no locks are needed. Confined to that loop, except for
 * the constructor.
 */
public final class Gateway {
  private static final long IDLE_CHECK_INTERVAL_MS = 1_000;
  private static final long PEER_TIMEOUT_MS = 3_500;
  private static final long DRAIN_ACCEPT_MS = 3_000;
  private static final long DRAIN_CHECK_INTERVAL_MS = 50;
  private static final long EXIT_MARGIN_MS = 500;
  private static final long STORE_CONFIRMED_MS = 1_200;
  private static final int MIN_DIRECTORY_HOSTS = 2;
  private static final int MAX_DIRECTORY_HOSTS = 64;
  private static final long MAX_INITIAL_SEQUENCE_NUMBER = 1L << 40;
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long MAX_IDLE_CONNECTION_MS = 8_000;
  private static final int MAX_RESPONSE_BYTES = 8 << 20;
  private static final int MAX_BUFFERED_BYTES = 12 << 20;
  private static final double CROSS_DATA_CENTRE_ROUND_TRIP_MS = 12;
  private static final double CROSS_DATA_CENTRE_MS_PER_KB = 0.3;
  private static final double CONNECT_COST_MS = 12;
  private static final double WARMUP_RATE_SHARE = 0.45;
  private static final double RETRY_RATIO_SHARE = 0.9;
  private static final double RETRY_ALLOWANCE_SHARE = 0.8;

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final Random random;
  private final ConfigurationController configuration;
  private final UpstreamsController upstreams;
  private final HostsController hosts;
  private final RolloutController rollouts;
  private final PeerTable peers;
  private final Link link;
  private final PlacementClient placement;
  private final QuotaOwners quotaOwners;
  private final QuotaClient quotas;
  private final HttpClient client;
  private final CallerListener callers;
  private final CallerListener readiness;
  private final CallerListener directory;
  private final CallerListener metrics;
  private boolean draining;
  private long storeRestores;

  /**
   * Creates a host that has not started.
   *
   * @param settings the settings of the host
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param timeOfDay the time of day, in milliseconds
   * @param log logs events
   * @param random source of randomness for gossip, the directory and sequence numbers
   * @param store the store of the site
   * @param upstreamHeaders reads and writes the header fields of messages
   * @param endpoints creates the filters for the site's readiness and directory requests
   */
  public Gateway(
      GatewaySettings settings,
      EventLoop loop,
      LongSupplier clock,
      LongSupplier timeOfDay,
      EventLog log,
      Random random,
      SiteStore store,
      UpstreamHeaders upstreamHeaders,
      Function<Gateway, Endpoints> endpoints) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.random = random;
    this.peers = new PeerTable(settings.host(), PEER_TIMEOUT_MS, random);
    this.configuration =
        new ConfigurationController(
            loop, clock, log, store, this::readsConfiguration, peers::isStart);
    this.upstreams =
        new UpstreamsController(
            loop,
            clock,
            timeOfDay,
            log,
            store,
            configuration::activeConfiguration,
            () -> peers.isStoreConfirmed(clock.getAsLong()));
    store.onRestored(this::onStoreRestored);
    upstreams.onStoreRead(configuration::onOtherRevisions, configuration::readUnwatched);
    this.link = new Link(loop, log);
    var self =
        new HostRegistration(
            settings.host(),
            settings.dataCentre(),
            settings.callersAddress(),
            settings.linkAddress(),
            settings.milliCores(),
            0);
    this.hosts =
        new HostsController(
            loop,
            clock,
            timeOfDay,
            log,
            store,
            peers,
            link,
            configuration,
            self,
            random,
            this::storeContact,
            () -> !upstreams.isNeverRead());
    GatewaySettings.Bounds siteBounds = settings.bounds();
    var gatewayMetrics = new GatewayMetrics();
    var schedulerSettings =
        new SchedulerSettings(
            CROSS_DATA_CENTRE_ROUND_TRIP_MS,
            CROSS_DATA_CENTRE_MS_PER_KB,
            CONNECT_COST_MS,
            WARMUP_RATE_SHARE,
            siteBounds.warmupRateFactor(),
            siteBounds.warmupRateExtraPerSecond());
    this.client =
        new HttpClient(
            loop,
            new HttpClientSettings(
                CONNECT_TIMEOUT_MS,
                MAX_IDLE_CONNECTION_MS,
                false,
                MAX_RESPONSE_BYTES,
                MAX_BUFFERED_BYTES),
            clock);
    var noticeReader = new NoticeReader(clock, log, upstreamHeaders);
    var prober = new UpstreamProber(client, upstreamHeaders, noticeReader);
    var limitShares = new LimitShares(peers, PeerTable.hash(settings.host()), hosts::knowsHosts);
    this.rollouts =
        new RolloutController(
            loop,
            clock,
            log,
            store,
            configuration::activeConfiguration,
            service -> limitShares.isLeading(service, clock.getAsLong()));
    var schedulers =
        new LocalSchedulers(
            loop,
            clock,
            log,
            schedulerSettings,
            upstreams,
            prober,
            limitShares,
            () -> peers.isStoreConfirmed(clock.getAsLong()),
            random,
            PeerTable.hash(settings.host()));
    schedulers.useRollouts(rollouts);
    this.placement =
        new PlacementClient(
            loop,
            clock,
            log,
            link,
            peers,
            schedulers,
            noticeReader.notices(),
            settings.host(),
            random.nextLong(MAX_INITIAL_SEQUENCE_NUMBER));
    int selfHash = PeerTable.hash(settings.host());
    this.quotaOwners =
        new QuotaOwners(
            clock, log, peers, selfHash, hosts::knowsHosts, configuration::activeConfiguration);
    this.quotas =
        new QuotaClient(loop, clock, log, link, selfHash, quotaOwners, placement::nextKey);
    var retryBudget =
        new ForwardingContext.RetryBudget(
            siteBounds.retryWindowMs(),
            siteBounds.retryRatio() * RETRY_RATIO_SHARE,
            () -> siteBounds.retryAllowance() * RETRY_ALLOWANCE_SHARE / peers.size());
    var contact = new ConfigurationContact(clock, log, configuration, upstreams, peers);
    var tools =
        new ForwardingContext(
            settings.dataCentre(),
            loop,
            clock,
            log,
            upstreamHeaders,
            new CallerAuthentication(
                configuration::workspaceKeys, contact::mayBeStale, upstreamHeaders),
            client,
            placement,
            quotas,
            noticeReader,
            retryBudget,
            settings
                .hedging()
                .map(limit -> new HedgeBudget(limit.maxRequestShare(), limit.maxWorkShare())),
            gatewayMetrics);
    Endpoints siteEndpoints = endpoints.apply(this);
    this.callers = createPort(List.of(new ForwardingHandler(configuration, tools)));
    this.readiness = createPort(List.of(siteEndpoints.readiness()));
    this.directory = createPort(List.of(siteEndpoints.directory()));
    this.metrics = createPort(List.of(new MetricsHandler(gatewayMetrics)));
    registerCounters(gatewayMetrics, store, prober, noticeReader.notices());
    quotas.registerCounters(gatewayMetrics);
    rollouts.registerCounters(gatewayMetrics);
  }

  private void registerCounters(
      GatewayMetrics registry, SiteStore store, UpstreamProber prober, UpstreamNotices notices) {
    registry.registerCounter("cactusstack_store_calls", "Calls to the store", store::callCount);
    registry.registerCounter(
        "cactusstack_store_failures", "Failed calls to the store", store::failedCallCount);
    registry.registerCounter(
        "cactusstack_store_restores", "Restores of the store", () -> storeRestores);
    registry.registerCounter(
        "cactusstack_upstream_connections",
        "Connections opened to upstreams",
        client::openedConnections);
    registry.registerCounter(
        "cactusstack_upstream_responses_skipped",
        "Responses of upstreams that were not taken for the current request's",
        client::skippedResponses);
    registry.registerCounter(
        "cactusstack_upstream_probes", "Probes of upstreams", prober::sentProbeCount);
    registry.registerCounter(
        "cactusstack_upstreams_leaving_by_response",
        "Upstreams that said in a response that they leave",
        notices::leavingCount);
    registry.registerCounter(
        "cactusstack_upstream_hold_offs",
        "Times that an upstream asked this host to send nothing for a while",
        notices::holdOffCount);
    registry.registerCounter(
        "cactusstack_upstream_limits",
        "Times that this host learned that an upstream limits the requests of all hosts",
        notices::limitCount);
    registry.registerCounter(
        "cactusstack_link_messages", "Messages sent to other hosts", link::sentMessageCount);
    registry.registerCounter(
        "cactusstack_log_lines_dropped",
        "Log lines dropped because the log buffer was full",
        log::droppedLineCount);
  }

  /**
   * The filters for the site's requests to a host.
   *
   * @param readiness answers whether the host is ready
   * @param directory answers which addresses callers should use
   */
  public record Endpoints(RequestHandler readiness, RequestHandler directory) {}

  private CallerListener createPort(List<RequestHandler> chain) {
    return new CallerListener(loop, chain, configuration::limits, clock);
  }

  /**
   * Opens the ports and starts to follow the store.
   *
   * @return completes when all ports are open
   */
  public CompletableFuture<Void> start() {
    var opened = new CompletableFuture<Void>();
    callers
        .open(settings.callersAddress())
        .addListener(f -> failOnError(f.cause(), opened, settings.callersAddress()));
    readiness
        .open(settings.readinessAddress())
        .addListener(f -> failOnError(f.cause(), opened, settings.readinessAddress()));
    directory
        .open(settings.directoryAddress())
        .addListener(f -> failOnError(f.cause(), opened, settings.directoryAddress()));
    metrics
        .open(settings.metricsAddress())
        .addListener(f -> failOnError(f.cause(), opened, settings.metricsAddress()));
    link.open(settings.linkAddress(), this::dispatchMessage)
        .addListener(
            f -> {
              failOnError(f.cause(), opened, settings.linkAddress());
              opened.complete(null);
            });
    configuration.start(this::onConfigurationChanged, hosts::announceConfiguration);
    hosts.start();
    loop.scheduleAtFixedRate(
        this::sweep, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    return opened;
  }

  private void onConfigurationChanged() {
    rollouts.onConfigurationChanged();
    upstreams.onConfigurationChanged();
    quotaOwners.onConfigurationChanged();
  }

  private void onStoreRestored(long era) {
    storeRestores++;
    log.event("store_restored").with("era", era).write();
    configuration.onStoreRestored();
    upstreams.onStoreRestored();
    hosts.onStoreRestored(era);
    rollouts.reread(era);
  }

  private static void failOnError(
      @org.jspecify.annotations.Nullable Throwable cause,
      CompletableFuture<Void> opened,
      Address address) {
    if (cause != null) {
      opened.completeExceptionally(
          new IllegalStateException(
              "cannot listen on " + address + ": make sure that no other process uses the port",
              cause));
    }
  }

  private void dispatchMessage(LinkMessage message, Address from) {
    if (message instanceof LinkMessage.Gossip gossip) {
      hosts.onGossip(gossip, from);
    } else if (message instanceof LinkMessage.ConfigurationUpdate update) {
      configuration.onSnapshot(update.snapshot());
    } else if (message instanceof LinkMessage.ConfigurationQuery query) {
      hosts.onConfigurationQuery(query, from);
    } else if (!quotas.onMessage(message, from)) {
      placement.onMessage(message, from);
    }
  }

  private StoreContact storeContact() {
    if (configuration.isStoreFailing() || upstreams.isStoreFailing()) {
      return StoreContact.FAILING;
    }
    return upstreams.ageMs() < STORE_CONFIRMED_MS ? StoreContact.CONFIRMED : StoreContact.UNKNOWN;
  }

  private boolean readsConfiguration() {
    return hosts.isConfigurationReader();
  }

  private void sweep() {
    quotaOwners.tick();
    client.closeIdleConnections();
    callers.closeTimedOutConnections();
    readiness.closeTimedOutConnections();
    directory.closeTimedOutConnections();
    metrics.closeTimedOutConnections();
  }

  /**
   * Returns whether callers should use this host.
   *
   * @return false before a configuration is known and once the host drains
   */
  public boolean isReady() {
    return !draining && configuration.activeConfiguration().isPresent();
  }

  /**
   * Chooses the addresses that a caller should use.
   *
   * @param dataCentre the caller's data centre
   * @return the addresses to connect to, never empty while this host is ready
   */
  public List<Address> callerAddresses(String dataCentre) {
    return new DirectoryPolicy(MIN_DIRECTORY_HOSTS, MAX_DIRECTORY_HOSTS)
        .choose(peers.usableHosts(clock.getAsLong()), dataCentre, random).stream()
            .map(HostRegistration::callerAddress)
            .toList();
  }

  /**
   * Drains this host: removes it from the directory immediately, accepts requests for as long as
   * callers may still connect, and then waits until no request is in flight.
   *
   * @return completes when the process can exit
   */
  public CompletableFuture<Void> drain() {
    var drained = new CompletableFuture<Void>();
    if (draining) {
      return drained;
    }
    draining = true;
    log.event("leaving").with("in_flight", callers.inFlight()).write();
    hosts.announceLeaving();
    callers.startDraining();
    loop.schedule(callers::stopListening, DRAIN_ACCEPT_MS, TimeUnit.MILLISECONDS);
    long startMs = clock.getAsLong();
    completeWhenDrained(drained, startMs);
    return drained;
  }

  private void completeWhenDrained(CompletableFuture<Void> drained, long startMs) {
    long elapsedMs = clock.getAsLong() - startMs;
    boolean accepting = elapsedMs < DRAIN_ACCEPT_MS;
    if (!accepting) {
      callers.closeUnusedConnections();
    }
    boolean finished = !accepting && callers.isEmpty();
    if (finished || elapsedMs > settings.bounds().terminationGraceMs() - EXIT_MARGIN_MS) {
      log.event("left")
          .with("in_flight", callers.inFlight())
          .with("unsent", callers.unsentConnections())
          .with("after_ms", elapsedMs)
          .write();
      drained.complete(null);
      return;
    }
    loop.schedule(
        () -> completeWhenDrained(drained, startMs),
        DRAIN_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }
}
