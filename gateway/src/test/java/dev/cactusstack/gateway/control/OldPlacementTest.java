package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to an upstream that has left, sent because a scheduler that was frozen or
 * cut off from the store still knew it.
 */
class OldPlacementTest {
  private static final Address SCHEDULER = new Address("127.0.0.1", 9);
  private static final int STRONG = 6_000;
  private static final int WEAK = 600;

  private final PlacementFixture host = new PlacementFixture();
  private final List<PlacementDecision> decisions = new ArrayList<>();

  private void register(String name, Address address, int milliCores) {
    host.peers.recordStart(
        new HostRegistration(name, "dc", address, address, milliCores, 1), host.time.nowMs());
  }

  private void receiveHeartbeat(String name, long counter, StoreContact contact) {
    host.peers.mergeHeartbeats(
        List.of(new HeartbeatState(PeerTable.hash(name), 1, counter, false, contact, true)),
        host.time.nowMs());
  }

  private static UpstreamRegistration upstream(String id) {
    return new UpstreamRegistration(id, "s", new Address("127.0.0.1", 80), "dc", 4, false, 0, 1, 1);
  }

  /** Requests a placement from the other host and lets it answer by registrations of some age. */
  private void receivePlacement(long registrationsAgeMs) {
    register("self", new Address("127.0.0.1", 8), WEAK);
    register("scheduler", SCHEDULER, STRONG);
    receiveHeartbeat("scheduler", 1, StoreContact.UNKNOWN);
    var request =
        new PlacementRequest(
            host.placement.nextKey(), "dc", "r", 1, 300, 300, 1_000, 0, false, Set.of());
    host.placement.requestPlacement("s", request, decisions::add);
    var placed = new PlacementDecision.Placed(request.key(), upstream("left"));
    host.placement.onMessage(new LinkMessage.DecisionMade(placed, registrationsAgeMs), SCHEDULER);
  }

  private List<String> placedOn() {
    return decisions.stream()
        .map(decision -> ((PlacementDecision.Placed) decision).upstream().id())
        .toList();
  }

  @Test
  void shouldUseAPlacementWhenItsRegistrationsAreRecent() {
    receivePlacement(700);
    assertThat(placedOn()).containsExactly("left");
  }

  @Test
  void shouldNotUseAnOldPlacementWhenThisHostCanReadNewerRegistrations() {
    receivePlacement(5_000);
    assertThat(decisions).isEmpty();
    host.store
        .upstreamReads
        .get(0)
        .complete(new UpstreamChange(10, true, Map.of("b", Optional.of(upstream("b"))), List.of()));
    assertThat(placedOn()).containsExactly("b");
  }

  @Test
  void shouldUseAnOldPlacementWhenThisHostCannotReadNewerRegistrations() {
    receivePlacement(5_000);
    host.store
        .upstreamReads
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    assertThat(placedOn()).containsExactly("left");
  }

  /** Registrations that expired during an outage of the store may be used right after it. */
  @Test
  void shouldUseAnOldPlacementWhenTheStoreWasUnavailableUntilAMomentAgo() {
    register("self", new Address("127.0.0.1", 8), WEAK);
    long startMs = host.time.nowMs();
    for (long elapsedMs = 0; elapsedMs <= 2_000; elapsedMs += 400) {
      host.peers.startRound(StoreContact.FAILING, true, startMs + elapsedMs);
    }
    host.time.run(2_400);
    host.peers.startRound(StoreContact.CONFIRMED, true, host.time.nowMs());
    receivePlacement(5_000);
    assertThat(placedOn()).containsExactly("left");
  }

  @Test
  void shouldNotUseAnOldPlacementWhenAnotherHostHasReadTheStore() {
    register("reader", new Address("127.0.0.1", 10), WEAK);
    receiveHeartbeat("reader", 1, StoreContact.CONFIRMED);
    receivePlacement(5_000);
    assertThat(decisions).isEmpty();
  }
}
