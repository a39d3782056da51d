package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a scheduler that places requests before it knows the upstreams' limits. */
class LimitsKnownTest {
  private static final Address SCHEDULER = new Address("127.0.0.1", 9);
  private static final Address OTHER_SCHEDULER = new Address("127.0.0.1", 10);
  private static final UpstreamRegistration UPSTREAM =
      new UpstreamRegistration("u", "s", new Address("127.0.0.1", 80), "dc", 4, false, 0, 1, 1);

  private final PlacementFixture host = new PlacementFixture();
  private final List<PlacementDecision> decisions = new ArrayList<>();

  @BeforeEach
  void addThisHost() {
    host.addHost("self", new Address("127.0.0.1", 8), 600);
  }

  private void recordLimit(double perSecond) {
    host.notices.record(
        UPSTREAM,
        new UpstreamNotice(false, 0, Optional.of(new RequestLimit(perSecond, 50, 0))),
        host.time.nowMs());
  }

  private PlacementRequest request(PlacementKey key) {
    return new PlacementRequest(key, "dc", "r", 1, 300, 300, 1_000, 0, false, Set.of());
  }

  private void requestPlacement() {
    host.placement.requestPlacement("s", request(host.placement.nextKey()), decisions::add);
  }

  private List<Class<?>> typesSentTo(Address scheduler) {
    return host.sent.stream()
        .filter(sent -> sent.destination().equals(scheduler))
        .<Class<?>>map(sent -> sent.message().getClass())
        .toList();
  }

  @Test
  void shouldTellASchedulerTheLimitsOnceAndBeforeTheFirstRequest() {
    host.addHost("scheduler", SCHEDULER, 6_000);
    recordLimit(1.5);
    host.time.stop(100);
    requestPlacement();
    requestPlacement();
    assertThat(typesSentTo(SCHEDULER))
        .containsExactly(
            LinkMessage.LimitsKnown.class,
            LinkMessage.RequestSubmitted.class,
            LinkMessage.RequestSubmitted.class);
    assertThat(host.sent(LinkMessage.LimitsKnown.class))
        .containsExactly(
            new LinkMessage.LimitsKnown(
                "s", List.of(new UpstreamLimit("u", 1, new RequestLimit(1.5, 150, 100)))));
  }

  @Test
  void shouldTellNothingWhenNoLimitIsKnown() {
    host.addHost("scheduler", SCHEDULER, 6_000);
    requestPlacement();
    assertThat(typesSentTo(SCHEDULER)).containsExactly(LinkMessage.RequestSubmitted.class);
  }

  @Test
  void shouldTellTheNextSchedulerWhenTheFirstDoesNotRespond() {
    host.addHost("scheduler", SCHEDULER, 6_000);
    host.addHost("other", OTHER_SCHEDULER, 6_000);
    recordLimit(1.5);
    requestPlacement();
    host.time.run(100);
    for (Address scheduler : List.of(SCHEDULER, OTHER_SCHEDULER)) {
      assertThat(typesSentTo(scheduler))
          .startsWith(LinkMessage.LimitsKnown.class, LinkMessage.RequestSubmitted.class);
    }
  }

  /** A scheduler that has restarted at the same address has forgotten the limits. */
  @Test
  void shouldTellTheSchedulerAgainWhenItHasRestarted() {
    host.addHost("scheduler", SCHEDULER, 6_000);
    recordLimit(1.5);
    requestPlacement();
    host.peers.recordStart(
        new HostRegistration("scheduler", "dc", SCHEDULER, SCHEDULER, 6_000, 2), host.time.nowMs());
    host.peers.mergeHeartbeats(
        List.of(
            new HeartbeatState(
                PeerTable.hash("scheduler"), 2, 1, false, StoreContact.UNKNOWN, true)),
        host.time.nowMs());
    host.time.stop(300);
    requestPlacement();
    assertThat(host.sent(LinkMessage.LimitsKnown.class)).hasSize(2);
  }

  private void readUpstreams() {
    host.store
        .upstreamReads
        .get(0)
        .complete(new UpstreamChange(10, true, Map.of("u", Optional.of(UPSTREAM)), List.of()));
  }

  private Optional<RequestLimit> placedWithLimit() {
    return decisions.stream()
        .map(PlacementDecision.Placed.class::cast)
        .map(PlacementDecision.Placed::limit)
        .findFirst()
        .orElseThrow();
  }

  @Test
  void shouldTellThisHostsOwnSchedulerWhenItHasToDecideAlone() {
    recordLimit(1_000);
    requestPlacement();
    readUpstreams();
    host.time.run(1_000);
    assertThat(placedWithLimit()).isPresent();
  }

  /** The two hosts before this one in the ranking may both be scheduling. */
  @Test
  void shouldRejectWhenThisHostDecidesAloneAndHasNoShareOfTheLimit() {
    host.addHost("scheduler", SCHEDULER, 6_000);
    host.addHost("other", OTHER_SCHEDULER, 6_000);
    recordLimit(1_000);
    requestPlacement();
    host.time.run(200);
    readUpstreams();
    host.time.run(300);
    assertThat(decisions).singleElement().isInstanceOf(PlacementDecision.Rejected.class);
  }

  @Test
  void shouldPlaceByTheLimitsThatAnotherHostTells() {
    var limit = new UpstreamLimit("u", 1, new RequestLimit(1_000, 150, 100));
    host.placement.onMessage(new LinkMessage.LimitsKnown("s", List.of(limit)), OTHER_SCHEDULER);
    host.placement.onMessage(
        new LinkMessage.RequestSubmitted("s", request(new PlacementKey(7, 1))), OTHER_SCHEDULER);
    readUpstreams();
    host.time.run(1_000);
    assertThat(host.sent(LinkMessage.DecisionMade.class))
        .filteredOn(made -> made.decision() instanceof PlacementDecision.Placed)
        .singleElement()
        .satisfies(
            made -> assertThat(((PlacementDecision.Placed) made.decision()).isCounted()).isTrue());
  }
}
