package dev.cactusstack.model.site;

import java.util.Objects;

/**
 * What operators say of a service. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param healthPath where an upstream answers with its load
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param warmupMs how long an upstream stays cold after its start, in milliseconds
 * @param warmupRequestsPerSecond requests a second that a cold upstream bears
 */
public record ServiceSettings(
    String name, String healthPath, int maxConnections, long warmupMs, double warmupRequestsPerSecond) {
  /** Checks the components. */
  public ServiceSettings {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(healthPath, "healthPath is null");
  }
}
