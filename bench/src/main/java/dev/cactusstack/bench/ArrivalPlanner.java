package dev.cactusstack.bench;

import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.Deployment.Service;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plans Poisson arrivals for a given utilization of all slots. Stateless. */
final class ArrivalPlanner {
  private static final double NANOS_PER_MS = 1e6;
  private static final int CALLER_COUNT = 1_000;

  private ArrivalPlanner() {}

  /**
   * Plans the arrivals of a phase.
   *
   * @param d the deployment
   * @param scale factor applied to the number of upstreams
   * @param utilization share of the slots that are busy at the normal service time
   * @param seconds length of the phase, in seconds
   * @param seed seed of the plan, for repeatable runs
   */
  static List<Arrival> plan(Deployment d, int scale, double utilization, int seconds, long seed) {
    var random = new Random(seed);
    var arrivals = new ArrayList<Arrival>();
    for (Service s : d.services()) {
      double meanMs =
          s.medianServiceMs()
              * Math.exp(Deployment.SERVICE_TIME_SIGMA * Deployment.SERVICE_TIME_SIGMA / 2);
      double arrivalsPerMs = utilization * s.upstreamCount() * scale * d.slots() / meanMs;
      double endMs = seconds * 1_000.0;
      for (double t = sampleGapMs(random, arrivalsPerMs);
          t < endMs;
          t += sampleGapMs(random, arrivalsPerMs)) {
        arrivals.add(
            new Arrival((long) (t * NANOS_PER_MS), s.name(), random.nextInt(CALLER_COUNT)));
      }
    }
    arrivals.sort((a, b) -> Long.compare(a.dueAfterNanos(), b.dueAfterNanos()));
    return arrivals;
  }

  private static double sampleGapMs(Random random, double arrivalsPerMs) {
    return -Math.log(1 - random.nextDouble()) / arrivalsPerMs;
  }
}
