package dev.cactusstack.model.site;

import java.util.Objects;

/**
 * What operators say of a service. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param healthPath where an upstream answers with its load
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldMs how long an upstream stays cold after its start, in milliseconds
 * @param coldPerSecond requests a second that a cold upstream bears
 */
public record ServiceRule(
    String name, String healthPath, int maxConnections, long coldMs, double coldPerSecond) {
  /** Checks the components. */
  public ServiceRule {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(healthPath, "healthPath is null");
  }
}
