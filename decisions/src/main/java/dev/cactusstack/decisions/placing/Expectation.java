package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/**
 * How long an answer is expected to take: the work at the upstream's pace, more with its other
 * requests and its faults, the way there, and a connection if none can be used again. Confined to
 * one thread.
 *
 * @param settings what ways and connections take
 * @param workTimes how long work takes as usual
 */
record Expectation(SchedulerSettings settings, ProcessingTimes workTimes) {
  private static final double OCCUPIED_WEIGHT = 0.4;
  private static final double FAULT_WEIGHT = 4;
  private static final double COLD_PACE = 2.5;
  private static final double BYTES_PER_KB = 1_000;

  /** The work of a request on an undisturbed upstream. */
  double workMs(PlacementRequest ask) {
    return workTimes.estimateMs(ask.route(), ask.latencyObjectiveMs());
  }

  /** From now to the answer, if the request is sent to the upstream now. */
  double ms(UpstreamLoad l, PlacementRequest ask, double meanPace, long nowMs) {
    double pace = l.expectedPace(meanPace, nowMs);
    if (l.cold(nowMs)) {
      pace = Math.max(pace, 1) * COLD_PACE;
    }
    double occupied = l.occupied(nowMs) / (double) l.entry().slots();
    double run = workMs(ask) * pace * (1 + OCCUPIED_WEIGHT * occupied);
    return run * (1 + FAULT_WEIGHT * l.faults()) + wayMs(l.entry(), ask) + connectMs(l, ask, nowMs);
  }

  private double wayMs(UpstreamRegistration e, PlacementRequest ask) {
    if (near(e, ask)) {
      return 0;
    }
    double kb = ask.bodyBytes() / BYTES_PER_KB;
    return settings.crossDataCentreRoundTripMs() + kb * settings.crossDataCentreMsPerKb();
  }

  /** What a new connection takes: another round trip, and a slot of the upstream for a moment. */
  private double connectMs(UpstreamLoad l, PlacementRequest ask, long nowMs) {
    if (l.connected(ask.key().hostHash(), nowMs)) {
      return 0;
    }
    return settings.connectCostMs()
        + (near(l.entry(), ask) ? 0 : settings.crossDataCentreRoundTripMs());
  }

  private static boolean near(UpstreamRegistration e, PlacementRequest ask) {
    return e.dataCentre().equals(ask.dataCentre());
  }
}
