package dev.cactusstack.model.site;

import java.util.List;
import java.util.Objects;

/**
 * How requests under one path prefix of one host name are handled.
 *
 * <p>Invariant: there is at least one part. Immutable and thread-safe.
 *
 * @param name the operators' name of the route
 * @param host the host name in lower case, without a port
 * @param prefix the path prefix
 * @param kind what may be repeated
 * @param timeoutMs longest time that a request is kept waiting, in milliseconds
 * @param latencyObjectiveMs latency objective, in milliseconds
 * @param priority rank among routes, 0 first
 * @param maxAttempts most upstreams that one request may run on
 * @param weightedServices the services that share the route's requests
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long latencyObjectiveMs,
    int priority,
    int maxAttempts,
    List<WeightedService> weightedServices) {

  /** Checks and copies the components. */
  public RouteRule {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(prefix, "prefix is null");
    Objects.requireNonNull(kind, "kind is null");
    weightedServices = List.copyOf(weightedServices);
    if (weightedServices.isEmpty()) {
      throw new IllegalArgumentException("a route needs a service: " + name);
    }
  }

  /**
   * One service's share of a route.
   *
   * @param service the service's name
   * @param weight its share relative to the other parts
   */
  public record WeightedService(String service, double weight) {
    /** Checks the components. */
    public WeightedService {
      Objects.requireNonNull(service, "service is null");
    }
  }
}
