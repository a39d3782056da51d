package dev.cactusstack.decisions.placing;

import java.util.Objects;
import java.util.Set;

/**
 * A request that wants an upstream. Immutable and thread-safe.
 *
 * @param key identifies the ask
 * @param dataCentre the data centre of the asking host
 * @param route the name of the request's route
 * @param priority rank of the route, 0 first
 * @param objectiveMs the route's latency objective, in milliseconds
 * @param onTimeMs time left until the caller's objective is missed, in milliseconds, 0 if it is
 * @param leftMs time left until the request must have its answer, in milliseconds
 * @param bodyBytes size of its body
 * @param spare whether it is a second attempt beside a running one, which never waits and takes
 *     only a slot that nobody waits for
 * @param tried upstreams that must not be chosen
 */
public record Ask(
    AskKey key,
    String dataCentre,
    String route,
    int priority,
    long objectiveMs,
    long onTimeMs,
    long leftMs,
    int bodyBytes,
    boolean spare,
    Set<String> tried) {
  /** Checks and copies the components. */
  public Ask {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(route, "route is null");
    tried = Set.copyOf(tried);
  }
}
