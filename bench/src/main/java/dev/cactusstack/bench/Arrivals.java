package dev.cactusstack.bench;

import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.Deployment.Service;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plans Poisson arrivals that keep a share of all slots busy. Stateless. */
final class Arrivals {
  private static final double NANOS_PER_MS = 1e6;
  private static final int CALLERS = 1_000;

  private Arrivals() {}

  /**
   * Plans a phase.
   *
   * @param d the deployment
   * @param scale factor on the number of upstreams
   * @param busyShare share of the slots that the arrivals keep busy at the usual speed
   * @param seconds length of the phase
   * @param seed makes the plan repeatable
   */
  static List<Arrival> plan(Deployment d, int scale, double busyShare, int seconds, long seed) {
    var random = new Random(seed);
    var all = new ArrayList<Arrival>();
    for (Service s : d.services()) {
      double meanMs = s.serviceMs() * Math.exp(Deployment.SPREAD * Deployment.SPREAD / 2);
      double perMs = busyShare * s.servers() * scale * d.slots() / meanMs;
      double endMs = seconds * 1_000.0;
      for (double t = gap(random, perMs); t < endMs; t += gap(random, perMs)) {
        all.add(new Arrival((long) (t * NANOS_PER_MS), s.name(), random.nextInt(CALLERS)));
      }
    }
    all.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    return all;
  }

  private static double gap(Random random, double perMs) {
    return -Math.log(1 - random.nextDouble()) / perMs;
  }
}
