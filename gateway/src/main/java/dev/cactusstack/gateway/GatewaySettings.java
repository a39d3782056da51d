package dev.cactusstack.gateway;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * What a host is told when it starts. Immutable and thread-safe.
 *
 * @param host the host's name
 * @param dataCentre the name of its data centre
 * @param callers where callers connect
 * @param readiness where the site asks whether the host is ready
 * @param directory where callers ask for addresses
 * @param metrics where the host's metrics are served
 * @param link where other hosts send datagrams
 * @param milliCores the processor that the host has, in thousandths of a core
 * @param bounds what the site holds the host to
 */
public record GatewaySettings(
    String host,
    String dataCentre,
    Address callers,
    Address readiness,
    Address directory,
    Address metrics,
    Address link,
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
   * @param repeatRatio repeats for each request to a service, over all hosts
   * @param repeatWindowMs length of the window in which that holds, in milliseconds
   * @param repeatAllowance repeats allowed in a window besides, over all hosts
   * @param coldFactor factor on the rate that a cold upstream bears
   * @param coldSlack requests a second to a cold upstream besides
   * @param graceMs time from the signal to stop until the process is killed, in milliseconds
   * @param longestTtlMs longest time that callers may keep addresses, in milliseconds
   */
  public record Bounds(
      double repeatRatio,
      long repeatWindowMs,
      double repeatAllowance,
      double coldFactor,
      double coldSlack,
      long graceMs,
      long longestTtlMs) {}
}
