package dev.cactusstack.model.site;

import java.util.Objects;

/**
 * The settings of a service, as configured by operators. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param healthPath path at which an upstream reports its load
 * @param maxConnections maximum number of connections that one upstream accepts from all clients
 *     together
 * @param warmupMs warm-up time of an upstream after its start, in milliseconds
 * @param warmupRequestsPerSecond requests per second that an upstream can take while it warms up
 */
public record ServiceSettings(
    String name,
    String healthPath,
    int maxConnections,
    long warmupMs,
    double warmupRequestsPerSecond) {
  /** Checks the components. */
  public ServiceSettings {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(healthPath, "healthPath is null");
  }
}
