package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/**
 * Estimates the response time of a request on an upstream.
 *
 * <p>The estimate is the processing time, scaled by the upstream's slowdown, its occupied slots and
 * its fault rate, plus the network transfer, plus a new connection if none can be reused. Confined
 * to one thread.
 *
 * @param settings costs of network transfers and connections
 * @param processingTimes processing times on an undisturbed upstream
 */
record ResponseTimeEstimator(SchedulerSettings settings, ProcessingTimes processingTimes) {
  private static final double OCCUPANCY_WEIGHT = 0.4;
  private static final double FAULT_RATE_WEIGHT = 4;
  private static final double COLD_SLOWDOWN = 2.5;
  private static final double BYTES_PER_KB = 1_000;

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
    return processing * (1 + FAULT_RATE_WEIGHT * load.faultRate())
        + transferMs(load.registration(), request)
        + connectionMs(load, request, nowMs);
  }

  private double transferMs(UpstreamRegistration upstream, PlacementRequest request) {
    if (isSameDataCentre(upstream, request)) {
      return 0;
    }
    double kb = request.bodyBytes() / BYTES_PER_KB;
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
