package dev.cactusstack.standin;

import java.util.Objects;

/**
 * What an upstream stand-in is. Immutable and thread-safe.
 *
 * @param service its service
 * @param dataCentre where it is
 * @param slots requests it runs at once
 * @param medianServiceMs median time of a run, in milliseconds
 * @param serviceTimeSigma sigma of the log-normal distribution of that time, 0 for a constant
 * @param coldConcurrencyLimit requests in flight that it bears while cold
 * @param warmUpRequests runs after which it is warm
 */
public record UpstreamSpec(
    String service,
    String dataCentre,
    int slots,
    double medianServiceMs,
    double serviceTimeSigma,
    int coldConcurrencyLimit,
    int warmUpRequests) {

  /** Checks the names. */
  public UpstreamSpec {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }
}
