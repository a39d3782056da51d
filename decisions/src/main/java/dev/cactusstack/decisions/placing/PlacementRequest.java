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
 * @param latencyObjectiveMs the route's latency objective, in milliseconds
 * @param objectiveRemainingMs time left until the caller's objective is missed, in milliseconds, 0
 *     if it is
 * @param deadlineRemainingMs time left until the request must have its answer, in milliseconds
 * @param bodyBytes size of its body
 * @param hedge whether it is a second attempt beside a running one, which never waits and takes
 *     only a slot that nobody waits for
 * @param excludedUpstreams upstreams that must not be chosen
 */
public record PlacementRequest(
    PlacementKey key,
    String dataCentre,
    String route,
    int priority,
    long latencyObjectiveMs,
    long objectiveRemainingMs,
    long deadlineRemainingMs,
    int bodyBytes,
    boolean hedge,
    Set<String> excludedUpstreams) {
  /** Checks and copies the components. */
  public PlacementRequest {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(route, "route is null");
    excludedUpstreams = Set.copyOf(excludedUpstreams);
  }
}
