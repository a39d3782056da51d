package dev.cactusstack.model.site;

import java.util.List;
import java.util.Objects;

/**
 * The handling of requests for one path prefix of one host name.
 *
 * <p>A route without a service is closed: it matches its requests, so that no shorter prefix does,
 * and serves none. Immutable and thread-safe.
 *
 * @param name the name that operators gave the route
 * @param host the host name in lower case, without a port
 * @param prefix the path prefix
 * @param kind whether requests can safely be retried
 * @param timeoutMs maximum total time of a request, in milliseconds
 * @param latencyObjectiveMs latency objective, in milliseconds
 * @param priority priority among routes; 0 is the highest
 * @param maxAttempts maximum number of upstreams to which one request may be sent
 * @param weightedServices the services among which the route's requests are divided; empty if the
 *     route is closed
 * @param isPublic whether callers need no API key
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
    List<WeightedService> weightedServices,
    boolean isPublic) {

  /** Checks and copies the components. */
  public RouteRule {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(prefix, "prefix is null");
    Objects.requireNonNull(kind, "kind is null");
    weightedServices = List.copyOf(weightedServices);
  }

  /**
   * Checks whether the route serves no requests.
   *
   * @return true if it has no service
   */
  public boolean isClosed() {
    return weightedServices.isEmpty();
  }

  /**
   * Creates a route that is not public.
   *
   * @param name the name that operators gave the route
   * @param host the host name in lower case, without a port
   * @param prefix the path prefix
   * @param kind whether requests can safely be retried
   * @param timeoutMs maximum total time of a request, in milliseconds
   * @param latencyObjectiveMs latency objective, in milliseconds
   * @param priority priority among routes; 0 is the highest
   * @param maxAttempts maximum number of upstreams to which one request may be sent
   * @param weightedServices the services among which the route's requests are divided
   */
  public RouteRule(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      long timeoutMs,
      long latencyObjectiveMs,
      int priority,
      int maxAttempts,
      List<WeightedService> weightedServices) {
    this(
        name,
        host,
        prefix,
        kind,
        timeoutMs,
        latencyObjectiveMs,
        priority,
        maxAttempts,
        weightedServices,
        false);
  }

  /**
   * A service and its share of the route's requests.
   *
   * @param service the service's name
   * @param weight its share relative to the other services of the route
   */
  public record WeightedService(String service, double weight) {
    /** Checks the components. */
    public WeightedService {
      Objects.requireNonNull(service, "service is null");
    }
  }
}
