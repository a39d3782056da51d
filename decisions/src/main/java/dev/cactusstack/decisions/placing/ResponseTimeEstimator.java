package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/**
 * Estimates the response time of a request on an upstream.
 *
 * <p>The estimate is the processing time, scaled by the upstream's slowdown and its occupied slots,
 * plus the network transfer, plus a new connection if none can be reused. Faults and refusals add
 * to the cost by which upstreams are compared, not to the time: an upstream that fails some
 * requests is the last choice, but still better than none. Confined to one thread.
 *
 * @param settings costs of network transfers and connections
 * @param processingTimes processing times on an undisturbed upstream
 */
record ResponseTimeEstimator(SchedulerSettings settings, ProcessingTimes processingTimes) {
  private static final double OCCUPANCY_WEIGHT = 0.4;
  private static final double FAULT_RATE_WEIGHT = 4;
  private static final double REFUSAL_RATE_WEIGHT = 1;
  private static final double COLD_SLOWDOWN = 2.5;
  private static final double BYTES_PER_KB = 1_000;
  private static final double TRAFFIC_COST_MS_PER_KB = 2;
  private static final double MAX_TRAFFIC_COST_SHARE_OF_OBJECTIVE = 0.25;

  /** Returns the processing time of a request on an undisturbed upstream. */
  double processingMs(PlacementRequest request) {
    return processingTimes.estimateMs(request.route(), request.latencyObjectiveMs());
  }

  /** Returns the time until the response if the request is sent to the upstream now. */
  double responseMs(UpstreamLoad load, PlacementRequest request, double meanSlowdown, long nowMs) {
    double slowdown = load.expectedSlowdown(meanSlowdown, nowMs);
    if (load.isCold(nowMs)) {
      slowdown = Math.max(slowdown, 1) * COLD_SLOWDOWN;
    }
    double occupancy = load.occupiedSlots(nowMs) / (double) load.registration().slots();
    double processing = processingMs(request) * slowdown * (1 + OCCUPANCY_WEIGHT * occupancy);
    return processing
        + transferMs(load.registration(), request)
        + connectionMs(load, request, nowMs);
  }

  /**
   * Returns the cost by which upstreams are compared: the time until the response, and a penalty
   * for traffic between data centres, which is expensive. The penalty is limited, so that it costs
   * requests only time that they can spare.
   */
  double costMs(UpstreamLoad load, PlacementRequest request, double meanSlowdown, long nowMs) {
    double lossWeight =
        FAULT_RATE_WEIGHT * load.faultRate() + REFUSAL_RATE_WEIGHT * load.refusalRate();
    return responseMs(load, request, meanSlowdown, nowMs)
        + processingMs(request) * lossWeight
        + trafficCostMs(load.registration(), request);
  }

  private static double trafficCostMs(UpstreamRegistration upstream, PlacementRequest request) {
    if (isSameDataCentre(upstream, request)) {
      return 0;
    }
    return Math.min(
        request.transferBytes() / BYTES_PER_KB * TRAFFIC_COST_MS_PER_KB,
        request.objectiveRemainingMs() * MAX_TRAFFIC_COST_SHARE_OF_OBJECTIVE);
  }

  private double transferMs(UpstreamRegistration upstream, PlacementRequest request) {
    if (isSameDataCentre(upstream, request)) {
      return 0;
    }
    double kb = request.transferBytes() / BYTES_PER_KB;
    return settings.crossDataCentreRoundTripMs() + kb * settings.crossDataCentreMsPerKb();
  }

  /**
   * Returns the cost of a new connection: an additional round trip, and an upstream slot that is
   * briefly occupied.
   */
  private double connectionMs(UpstreamLoad load, PlacementRequest request, long nowMs) {
    if (load.hasReusableConnection(request.key().hostHash(), nowMs)) {
      return 0;
    }
    return settings.connectCostMs()
        + (isSameDataCentre(load.registration(), request)
            ? 0
            : settings.crossDataCentreRoundTripMs());
  }

  private static boolean isSameDataCentre(UpstreamRegistration upstream, PlacementRequest request) {
    return upstream.dataCentre().equals(request.dataCentre());
  }
}
