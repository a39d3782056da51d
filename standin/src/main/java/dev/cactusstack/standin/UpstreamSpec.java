package dev.cactusstack.standin;

import java.util.Objects;

/**
 * The specification of an upstream stand-in. Immutable and thread-safe.
 *
 * @param service the service it belongs to
 * @param dataCentre the data centre it is in
 * @param slots number of requests it executes concurrently
 * @param medianServiceMs median service time, in milliseconds
 * @param serviceTimeSigma sigma of the log-normal distribution of the service time, 0 for a
 *     constant time
 * @param coldConcurrencyLimit maximum number of requests in flight while it is cold
 * @param warmUpRequests number of executed requests after which it is warm
 */
public record UpstreamSpec(
    String service,
    String dataCentre,
    int slots,
    double medianServiceMs,
    double serviceTimeSigma,
    int coldConcurrencyLimit,
    int warmUpRequests) {

  /** Checks that the names are present. */
  public UpstreamSpec {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }
}
