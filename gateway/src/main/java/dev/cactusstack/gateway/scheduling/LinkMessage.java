package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.site.HostRegistration;
import java.util.List;

/** What hosts tell each other, one datagram each. Implementations are immutable. */
public sealed interface LinkMessage {
  /**
   * A round of gossip.
   *
   * @param configurationRevision the store's revision of the newest change that the sender knows
   * @param recentlyStarted entries of hosts whose start is news, the sender's own first
   * @param heartbeats heartbeat counters
   */
  record Gossip(long configurationRevision, List<HostRegistration> recentlyStarted, List<HeartbeatState> heartbeats)
      implements LinkMessage {
    /** Copies the components. */
    public Gossip {
      recentlyStarted = List.copyOf(recentlyStarted);
      heartbeats = List.copyOf(heartbeats);
    }
  }

  /**
   * The configuration in force at the sender.
   *
   * @param snapshot what it has in force, and since when
   */
  record ConfigurationUpdate(ConfigurationSnapshot snapshot) implements LinkMessage {}

  /**
   * Asks for the configuration in force at the receiver, if it is newer.
   *
   * @param knownRevision the store's revision up to which the sender knows it
   */
  record ConfigurationQuery(long knownRevision) implements LinkMessage {}

  /**
   * A request that wants an upstream.
   *
   * @param service the service's name
   * @param request the request
   */
  record RequestSubmitted(String service, PlacementRequest request) implements LinkMessage {}

  /**
   * What was decided about it.
   *
   * @param decision the decision
   */
  record DecisionMade(PlacementDecision decision) implements LinkMessage {}

  /**
   * Ends of attempts; the newest first, then some that were told before, as datagrams get lost.
   *
   * @param service the service's name
   * @param reports the ends
   */
  record AttemptsEnded(String service, List<AttemptReport> reports) implements LinkMessage {
    /** Copies the components. */
    public AttemptsEnded {
      reports = List.copyOf(reports);
    }
  }

  /**
   * A request that no longer wants a place.
   *
   * @param service the service's name
   * @param key its ask
   */
  record RequestCancelled(String service, PlacementKey key) implements LinkMessage {}

  /**
   * An ask that the sender does not decide, because it does not reach the store, or has not read
   * the upstreams.
   *
   * @param key the ask
   */
  record RequestDeclined(PlacementKey key) implements LinkMessage {}
}
