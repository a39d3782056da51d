package dev.cactusstack.gateway;

import dev.cactusstack.model.Address;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a host. Immutable and thread-safe.
 *
 * @param host the host's name
 * @param dataCentre the name of its data centre
 * @param callersAddress the address that callers connect to
 * @param readinessAddress the address of the readiness check
 * @param directoryAddress the address of the directory that lists hosts for callers
 * @param metricsAddress the address that serves the host's metrics
 * @param linkAddress the address that receives datagrams of other hosts
 * @param milliCores the CPU share of the host, in thousandths of a core
 * @param bounds limits that the site sets
 * @param hedging the limit on hedges; empty if only the retry budget limits them
 */
public record GatewaySettings(
    String host,
    String dataCentre,
    Address callersAddress,
    Address readinessAddress,
    Address directoryAddress,
    Address metricsAddress,
    Address linkAddress,
    int milliCores,
    Bounds bounds,
    Optional<Hedging> hedging) {
  /** Checks the components. */
  public GatewaySettings {
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(bounds, "bounds is null");
    Objects.requireNonNull(hedging, "hedging is null");
  }

  /**
   * Creates settings without a limit on hedges.
   *
   * @param host the host's name
   * @param dataCentre the name of its data centre
   * @param callersAddress the address that callers connect to
   * @param readinessAddress the address of the readiness check
   * @param directoryAddress the address of the directory that lists hosts for callers
   * @param metricsAddress the address that serves the host's metrics
   * @param linkAddress the address that receives datagrams of other hosts
   * @param milliCores the CPU share of the host, in thousandths of a core
   * @param bounds limits that the site sets
   */
  public GatewaySettings(
      String host,
      String dataCentre,
      Address callersAddress,
      Address readinessAddress,
      Address directoryAddress,
      Address metricsAddress,
      Address linkAddress,
      int milliCores,
      Bounds bounds) {
    this(
        host,
        dataCentre,
        callersAddress,
        readinessAddress,
        directoryAddress,
        metricsAddress,
        linkAddress,
        milliCores,
        bounds,
        Optional.empty());
  }

  /**
   * The limit on hedges. Immutable and thread-safe.
   *
   * @param maxRequestShare share of the requests that may be sent a second time, from 0 to 1
   * @param maxWorkShare share of the upstream time that second copies may use, from 0 to 1
   */
  public record Hedging(double maxRequestShare, double maxWorkShare) {}

  /**
   * Limits that the site sets for its hosts. Immutable and thread-safe.
   *
   * @param retryRatio maximum retries for each request to a service, over all hosts
   * @param retryWindowMs length of the window that the retry limits apply to, in milliseconds
   * @param retryAllowance additional retries allowed in a window, over all hosts
   * @param warmupRateFactor maximum request rate to a cold upstream, as a factor on its warmup rate
   * @param warmupRateExtraPerSecond additional requests per second allowed to a cold upstream
   * @param terminationGraceMs time from the termination signal until the process is killed, in
   *     milliseconds
   * @param maxTtlMs maximum time that callers may cache addresses, in milliseconds
   */
  public record Bounds(
      double retryRatio,
      long retryWindowMs,
      double retryAllowance,
      double warmupRateFactor,
      double warmupRateExtraPerSecond,
      long terminationGraceMs,
      long maxTtlMs) {}
}
