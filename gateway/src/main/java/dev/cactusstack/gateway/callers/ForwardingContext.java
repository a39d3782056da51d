package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.matching.WeightedRoundRobin;
import dev.cactusstack.decisions.placing.ProcessingTimes;
import dev.cactusstack.decisions.placing.ResponseSizes;
import dev.cactusstack.decisions.retries.CallerElapsedTime;
import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.decisions.retries.IdleReuseLimit;
import dev.cactusstack.decisions.retries.RetryWindow;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.NoticeReader;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.QuotaClient;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The state and collaborators that all forwarded requests share. Confined to the event loop.
 *
 * @param dataCentre the name of this host's data centre
 * @param loop the event loop of the host
 * @param clock a monotonic clock, in milliseconds
 * @param log receives events
 * @param wire reads and writes header fields for upstreams
 * @param authentication checks API keys
 * @param client sends requests to upstreams
 * @param placement assigns requests to upstreams
 * @param quotas requests the permits of workspaces with a quota
 * @param noticeReader reads and remembers what upstreams say about themselves
 * @param weightedRoundRobin divides routes between several services
 * @param retryWindows retry budgets, by service
 * @param idleReuseLimits limits on the idle time of reused connections, by service
 * @param processingTimes typical response times, by route
 * @param responseSizes typical sizes of response bodies, by route
 * @param callerElapsedTime estimates the time a caller has spent before its request arrives, by
 *     route
 * @param retryBudget the settings of retry budgets
 * @param hedgeLimit limits and times hedges
 * @param figures the host's metrics
 */
public record ForwardingContext(
    String dataCentre,
    EventLoop loop,
    LongSupplier clock,
    EventLog log,
    UpstreamHeaders wire,
    CallerAuthentication authentication,
    HttpClient client,
    PlacementClient placement,
    QuotaClient quotas,
    NoticeReader noticeReader,
    WeightedRoundRobin weightedRoundRobin,
    Map<String, RetryWindow> retryWindows,
    Map<String, IdleReuseLimit> idleReuseLimits,
    ProcessingTimes processingTimes,
    ResponseSizes responseSizes,
    CallerElapsedTime callerElapsedTime,
    RetryBudget retryBudget,
    HedgeLimit hedgeLimit,
    GatewayMetrics figures) {

  /**
   * Creates a context without history.
   *
   * @param dataCentre the name of this host's data centre
   * @param loop the event loop of the host
   * @param clock a monotonic clock, in milliseconds
   * @param log receives events
   * @param wire reads and writes header fields for upstreams
   * @param authentication checks API keys
   * @param client sends requests to upstreams
   * @param placement assigns requests to upstreams
   * @param quotas requests the permits of workspaces with a quota
   * @param noticeReader reads and remembers what upstreams say about themselves
   * @param retryBudget the settings of retry budgets
   * @param hedgeBudget the limit on hedges; empty if only the retry budget limits them
   * @param figures the host's metrics
   */
  public ForwardingContext(
      String dataCentre,
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      UpstreamHeaders wire,
      CallerAuthentication authentication,
      HttpClient client,
      PlacementClient placement,
      QuotaClient quotas,
      NoticeReader noticeReader,
      RetryBudget retryBudget,
      Optional<HedgeBudget> hedgeBudget,
      GatewayMetrics figures) {
    this(
        dataCentre,
        loop,
        clock,
        log,
        wire,
        authentication,
        client,
        placement,
        quotas,
        noticeReader,
        new WeightedRoundRobin(),
        new HashMap<>(),
        new HashMap<>(),
        new ProcessingTimes(),
        new ResponseSizes(),
        new CallerElapsedTime(),
        retryBudget,
        new HedgeLimit(hedgeBudget),
        figures);
  }

  RetryWindow retryWindows(String service) {
    return retryWindows.computeIfAbsent(
        service, s -> new RetryWindow(retryBudget.windowMs, retryBudget.ratio));
  }

  IdleReuseLimit idleReuseLimit(String service) {
    return idleReuseLimits.computeIfAbsent(service, s -> new IdleReuseLimit());
  }

  AttemptClassifier attemptClassifier() {
    return new AttemptClassifier(wire);
  }

  boolean tryAcquireRetryBudget(String service) {
    return retryWindows(service)
        .tryAcquireRetry(retryBudget.fixedAllowance.getAsDouble(), clock.getAsLong());
  }

  /**
   * The settings of the retry budgets of this host.
   *
   * @param windowMs length of the sliding window, in milliseconds
   * @param ratio retries allowed for each request
   * @param fixedAllowance this host's share of the retries that a window allows regardless of
   *     requests
   */
  public record RetryBudget(long windowMs, double ratio, DoubleSupplier fixedAllowance) {}
}
