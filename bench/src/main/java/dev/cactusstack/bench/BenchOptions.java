package dev.cactusstack.bench;

import dev.cactusstack.standin.Deployment;
import java.util.Objects;

/**
 * The parameters of an experiment. Immutable and thread-safe.
 *
 * @param seed seed of arrivals and faults, for repeatable runs
 * @param seconds length of each measured phase, in seconds
 * @param deployment the deployment to simulate
 * @param scale factor applied to the numbers of upstreams and hosts
 */
record BenchOptions(long seed, int seconds, Deployment deployment, int scale) {
  BenchOptions {
    Objects.requireNonNull(deployment, "deployment is null");
  }
}
