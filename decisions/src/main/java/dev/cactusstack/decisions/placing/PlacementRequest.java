package dev.cactusstack.decisions.placing;

import java.util.Objects;
import java.util.Set;

/**
 * A host's request for an upstream slot on which to run a caller's request. Immutable and
 * thread-safe.
 *
 * @param key identifies the placement request
 * @param dataCentre the data centre of the requesting host
 * @param route the name of the route that the caller's request matched
 * @param priority the priority of the route; 0 is the highest
 * @param latencyObjectiveMs the route's latency objective, in milliseconds
 * @param objectiveRemainingMs time left to meet the latency objective, in milliseconds; 0 if it was
 *     missed
 * @param deadlineRemainingMs time left until the deadline of the caller's request, in milliseconds
 * @param transferBytes the size of the request body and, as far as known, of the response body
 * @param hedge whether this is a hedge, that is, a second attempt alongside a running one; a hedge
 *     is never queued and only takes a slot that no queued request needs
 * @param excludedUpstreams identities of the upstreams that must not be chosen
 * @param workspace the name of the caller's workspace; empty if there is none
 */
public record PlacementRequest(
    PlacementKey key,
    String dataCentre,
    String route,
    int priority,
    long latencyObjectiveMs,
    long objectiveRemainingMs,
    long deadlineRemainingMs,
    int transferBytes,
    boolean hedge,
    Set<String> excludedUpstreams,
    String workspace) {
  /** Checks and copies the components. */
  public PlacementRequest {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(workspace, "workspace is null");
    excludedUpstreams = Set.copyOf(excludedUpstreams);
  }

  /**
   * Creates a placement request without a workspace.
   *
   * @param key identifies the placement request
   * @param dataCentre the data centre of the requesting host
   * @param route the name of the route that the caller's request matched
   * @param priority the priority of the route; 0 is the highest
   * @param latencyObjectiveMs the route's latency objective, in milliseconds
   * @param objectiveRemainingMs time left to meet the latency objective, in milliseconds
   * @param deadlineRemainingMs time left until the deadline, in milliseconds
   * @param transferBytes the size of the bodies, as far as known
   * @param hedge whether this is a hedge
   * @param excludedUpstreams identities of the upstreams that must not be chosen
   */
  public PlacementRequest(
      PlacementKey key,
      String dataCentre,
      String route,
      int priority,
      long latencyObjectiveMs,
      long objectiveRemainingMs,
      long deadlineRemainingMs,
      int transferBytes,
      boolean hedge,
      Set<String> excludedUpstreams) {
    this(
        key,
        dataCentre,
        route,
        priority,
        latencyObjectiveMs,
        objectiveRemainingMs,
        deadlineRemainingMs,
        transferBytes,
        hedge,
        excludedUpstreams,
        "");
  }
}
