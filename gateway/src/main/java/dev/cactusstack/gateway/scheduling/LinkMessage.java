package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.gateway.site.KnownConfiguration;
import dev.cactusstack.model.site.HostRegistration;
import java.util.List;

/** What hosts tell each other, one datagram each. Implementations are immutable. */
public sealed interface LinkMessage {
  /**
   * A round of gossip.
   *
   * @param configurationRevision the store's revision of the newest change that the sender knows
   * @param news entries of hosts whose start is news, the sender's own first
   * @param pulses heartbeat counters
   */
  record Beat(long configurationRevision, List<HostRegistration> news, List<HeartbeatState> pulses)
      implements LinkMessage {
    /** Copies the components. */
    public Beat {
      news = List.copyOf(news);
      pulses = List.copyOf(pulses);
    }
  }

  /**
   * The configuration in force at the sender.
   *
   * @param known what it has in force, and since when
   */
  record Rules(KnownConfiguration known) implements LinkMessage {}

  /**
   * Asks for the configuration in force at the receiver, if it is newer.
   *
   * @param after the store's revision up to which the sender knows it
   */
  record RulesWanted(long after) implements LinkMessage {}

  /**
   * A request that wants an upstream.
   *
   * @param service the service's name
   * @param ask the request
   */
  record Asked(String service, PlacementRequest ask) implements LinkMessage {}

  /**
   * What was decided about it.
   *
   * @param verdict the decision
   */
  record Decided(PlacementDecision verdict) implements LinkMessage {}

  /**
   * Ends of attempts; the newest first, then some that were told before, as datagrams get lost.
   *
   * @param service the service's name
   * @param reports the ends
   */
  record Ended(String service, List<AttemptReport> reports) implements LinkMessage {
    /** Copies the components. */
    public Ended {
      reports = List.copyOf(reports);
    }
  }

  /**
   * A request that no longer wants a place.
   *
   * @param service the service's name
   * @param key its ask
   */
  record Withdrawn(String service, PlacementKey key) implements LinkMessage {}

  /**
   * An ask that the sender does not decide, because it does not reach the store, or has not read
   * the upstreams.
   *
   * @param key the ask
   */
  record Unable(PlacementKey key) implements LinkMessage {}
}
