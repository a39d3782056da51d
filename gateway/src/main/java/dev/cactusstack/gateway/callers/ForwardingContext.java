package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.matching.WeightedRoundRobin;
import dev.cactusstack.decisions.placing.ProcessingTimes;
import dev.cactusstack.decisions.retries.CallerElapsedTime;
import dev.cactusstack.decisions.retries.IdleReuseLimit;
import dev.cactusstack.decisions.retries.RetryWindow;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * What requests need to run, shared by all of them. Confined to the event loop.
 *
 * @param dataCentre the name of this host's data centre
 * @param loop the loop that everything runs on
 * @param clock a steady clock, in milliseconds
 * @param log where decisions are told
 * @param wire header fields
 * @param client connections to upstreams
 * @param placement where requests get their places
 * @param parts shares of split routes
 * @param repeats budgets for repeats, by service
 * @param rests bounds on the rest of kept connections, by service
 * @param workTimes usual answer times, by route
 * @param patience how long callers of each route wait
 * @param repeatBudget the bounds for repeats
 * @param figures counts what happens
 */
public record ForwardingContext(
    String dataCentre,
    EventLoop loop,
    LongSupplier clock,
    EventLog log,
    UpstreamHeaders wire,
    HttpClient client,
    PlacementClient placement,
    WeightedRoundRobin parts,
    Map<String, RetryWindow> repeats,
    Map<String, IdleReuseLimit> rests,
    ProcessingTimes workTimes,
    CallerElapsedTime patience,
    RetryBudget repeatBudget,
    GatewayMetrics figures) {

  /**
   * Creates tools with no history.
   *
   * @param dataCentre the name of this host's data centre
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where decisions are told
   * @param wire header fields
   * @param client connections to upstreams
   * @param placement where requests get their places
   * @param repeatBudget the bounds for repeats
   * @param figures counts what happens
   */
  public ForwardingContext(
      String dataCentre,
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      UpstreamHeaders wire,
      HttpClient client,
      PlacementClient placement,
      RetryBudget repeatBudget,
      GatewayMetrics figures) {
    this(
        dataCentre,
        loop,
        clock,
        log,
        wire,
        client,
        placement,
        new WeightedRoundRobin(),
        new HashMap<>(),
        new HashMap<>(),
        new ProcessingTimes(),
        new CallerElapsedTime(),
        repeatBudget,
        figures);
  }

  RetryWindow repeats(String service) {
    return repeats.computeIfAbsent(
        service, s -> new RetryWindow(repeatBudget.windowMs, repeatBudget.ratio));
  }

  IdleReuseLimit rest(String service) {
    return rests.computeIfAbsent(service, s -> new IdleReuseLimit());
  }

  AttemptClassifier judge() {
    return new AttemptClassifier(wire);
  }

  boolean mayRepeat(String service) {
    return repeats(service)
        .tryAcquireRetry(repeatBudget.allowance.getAsDouble(), clock.getAsLong());
  }

  /**
   * The bounds for repeats of this host.
   *
   * @param windowMs length of the sliding window, in milliseconds
   * @param ratio repeats allowed for each request
   * @param allowance this host's part of the fixed allowance of a window
   */
  public record RetryBudget(long windowMs, double ratio, DoubleSupplier allowance) {}
}
