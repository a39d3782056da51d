package dev.cactusstack.standin;

import java.util.Objects;

/**
 * What an upstream stand-in is. Immutable and thread-safe.
 *
 * @param service its service
 * @param dataCentre where it is
 * @param slots requests it runs at once
 * @param serviceMs median time of a run, in milliseconds
 * @param spread sigma of the log-normal distribution of that time, 0 for a constant
 * @param coldBears requests in flight that it bears while cold
 * @param warmUpRuns runs after which it is warm
 */
public record UpstreamTraits(
    String service,
    String dataCentre,
    int slots,
    double serviceMs,
    double spread,
    int coldBears,
    int warmUpRuns) {

  /** Checks the names. */
  public UpstreamTraits {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }
}
