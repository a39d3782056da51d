package dev.cactusstack.gateway;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * What a host is told when it starts. Immutable and thread-safe.
 *
 * @param host the host's name
 * @param dataCentre the name of its data centre
 * @param callersAddress where callers connect
 * @param readinessAddress where the site asks whether the host is ready
 * @param directoryAddress where callers ask for addresses
 * @param metricsAddress where the host's metrics are served
 * @param linkAddress where other hosts send datagrams
 * @param milliCores the processor that the host has, in thousandths of a core
 * @param bounds what the site holds the host to
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
    Bounds bounds) {
  /** Checks the components. */
  public GatewaySettings {
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(bounds, "bounds is null");
  }

  /**
   * What the site holds hosts to. Immutable and thread-safe.
   *
   * @param retryRatio repeats for each request to a service, over all hosts
   * @param retryWindowMs length of the window in which that holds, in milliseconds
   * @param retryAllowance repeats allowed in a window besides, over all hosts
   * @param warmupRateFactor factor on the rate that a cold upstream bears
   * @param warmupRateExtraPerSecond requests a second to a cold upstream besides
   * @param terminationGraceMs time from the signal to stop until the process is killed, in milliseconds
   * @param maxTtlMs longest time that callers may keep addresses, in milliseconds
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
