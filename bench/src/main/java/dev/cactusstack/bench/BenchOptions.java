package dev.cactusstack.bench;

import dev.cactusstack.standin.Deployment;
import java.util.Objects;

/**
 * The parameters of an experiment. Immutable and thread-safe.
 *
 * @param seed makes arrivals and faults repeatable
 * @param seconds length of each measured phase, in seconds
 * @param deployment which deployment is run
 * @param scale factor on the numbers of upstreams and hosts
 */
record BenchOptions(long seed, int seconds, Deployment deployment, int scale) {
  BenchOptions {
    Objects.requireNonNull(deployment, "deployment is null");
  }
}
