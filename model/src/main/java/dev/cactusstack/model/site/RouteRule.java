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
 * @param objectiveMs latency objective, in milliseconds
 * @param priority rank among routes, 0 first
 * @param maxAttempts most upstreams that one request may run on
 * @param parts the services that share the route's requests
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long objectiveMs,
    int priority,
    int maxAttempts,
    List<Part> parts) {

  /** Checks and copies the components. */
  public RouteRule {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(prefix, "prefix is null");
    Objects.requireNonNull(kind, "kind is null");
    parts = List.copyOf(parts);
    if (parts.isEmpty()) {
      throw new IllegalArgumentException("a route needs a service: " + name);
    }
  }

  /**
   * One service's share of a route.
   *
   * @param service the service's name
   * @param weight its share relative to the other parts
   */
  public record Part(String service, double weight) {
    /** Checks the components. */
    public Part {
      Objects.requireNonNull(service, "service is null");
    }
  }
}
