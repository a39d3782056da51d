package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.site.HostRegistration;
import java.util.List;

/** A message between hosts, sent as one datagram. Implementations are immutable. */
public sealed interface LinkMessage {
  /**
   * The membership state that a host gossips periodically.
   *
   * @param configurationRevision the revision of the newest configuration change that the sender
   *     has
   * @param startedHosts registrations of recently started hosts, the sender's own first
   * @param heartbeats heartbeat states of hosts
   */
  record Gossip(
      long configurationRevision,
      List<HostRegistration> startedHosts,
      List<HeartbeatState> heartbeats)
      implements LinkMessage {
    /** Copies the components. */
    public Gossip {
      startedHosts = List.copyOf(startedHosts);
      heartbeats = List.copyOf(heartbeats);
    }
  }

  /**
   * Carries the configuration in force at the sender.
   *
   * @param snapshot the configuration with the revision of its newest change
   */
  record ConfigurationUpdate(ConfigurationSnapshot snapshot) implements LinkMessage {}

  /**
   * Queries the configuration in force at the receiver, if it is newer.
   *
   * @param knownRevision the revision of the sender's configuration
   */
  record ConfigurationQuery(long knownRevision) implements LinkMessage {}

  /**
   * Submits a request to the host that schedules its service.
   *
   * @param service the service's name
   * @param request the placement request
   */
  record RequestSubmitted(String service, PlacementRequest request) implements LinkMessage {}

  /**
   * Returns the decision on a submitted request.
   *
   * @param decision the decision
   * @param registrationsAgeMs the age of the upstream registrations that it rests on, in
   *     milliseconds
   */
  record DecisionMade(PlacementDecision decision, long registrationsAgeMs) implements LinkMessage {}

  /**
   * Reports ended attempts: the newest first, then some earlier ones again, because datagrams may
   * be lost.
   *
   * @param service the service's name
   * @param reports the reports
   */
  record AttemptsEnded(String service, List<AttemptReport> reports) implements LinkMessage {
    /** Copies the components. */
    public AttemptsEnded {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Cancels a submitted request.
   *
   * @param service the service's name
   * @param key the key of the placement request
   */
  record RequestCancelled(String service, PlacementKey key) implements LinkMessage {}

  /**
   * Declines to decide on a submitted request, because the sender does not reach the store or has
   * not read the upstreams.
   *
   * @param key the key of the placement request
   */
  record RequestDeclined(PlacementKey key) implements LinkMessage {}

  /**
   * Tells the receiver the limits of a service's upstreams before the sender submits requests of
   * the service to it.
   *
   * @param service the service's name
   * @param limits what the sender knows
   */
  record LimitsKnown(String service, List<UpstreamLimit> limits) implements LinkMessage {
    /** Copies the components. */
    public LimitsKnown {
      limits = List.copyOf(limits);
    }
  }

  /**
   * Requests a permit of a workspace's quota from the quota's owner.
   *
   * @param workspace the workspace's name
   * @param key identifies the request; a repeated one takes no second permit
   */
  record QuotaRequested(String workspace, PlacementKey key) implements LinkMessage {}

  /**
   * Returns the decision on a request for a permit.
   *
   * @param key the key of the request
   * @param decision the decision
   */
  record QuotaDecided(PlacementKey key, QuotaDecision decision) implements LinkMessage {}

  /**
   * Returns a permit to the host that granted it, because its request did not run, or cancels the
   * request for it.
   *
   * @param workspace the workspace's name
   * @param key the key of the request
   */
  record QuotaReturned(String workspace, PlacementKey key) implements LinkMessage {}
}
