package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.routing.SchedulerRanking;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LimitSharesTest {
  private static final String SERVICE = "s";
  private static final long SETTLING_MS = 4_000;
  private static final long STEP_MS = 500;
  private static final Address ADDRESS = new Address("127.0.0.1", 8);

  /** The hosts in the order in which they are asked to schedule the service. */
  private final List<String> ranking =
      SchedulerRanking.rank(
              SERVICE, List.of(host("a", 1), host("b", 1), host("c", 1), host("d", 1)), 4)
          .stream()
          .map(HostRegistration::name)
          .toList();

  private long nowMs = 1_000_000;
  private long counter;
  private boolean knowsHosts = true;

  private static HostRegistration host(String name, long incarnation) {
    return new HostRegistration(name, "dc", ADDRESS, ADDRESS, 1_000, incarnation);
  }

  /** Returns the table of a host that has just read all hosts from the store. */
  private PeerTable tableOf(String self) {
    var peers = new PeerTable(self, 3_500, new Random(1));
    ranking.forEach(name -> peers.recordStart(host(name, 1), nowMs));
    return peers;
  }

  private LimitShares sharesOf(String self, PeerTable peers) {
    return new LimitShares(peers, PeerTable.hash(self), () -> knowsHosts);
  }

  private void hear(PeerTable peers, List<String> names) {
    counter++;
    List<HeartbeatState> heartbeats = new ArrayList<>();
    for (String name : names) {
      heartbeats.add(
          new HeartbeatState(
              PeerTable.hash(name), 1, counter, false, StoreContact.CONFIRMED, true));
    }
    peers.mergeHeartbeats(heartbeats, nowMs);
  }

  /** Looks at the share again and again while other hosts are heard of. */
  private double shareAfter(long ms, LimitShares shares, PeerTable peers, List<String> heard) {
    for (long end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
      hear(peers, heard);
      shares.share(SERVICE, nowMs);
    }
    hear(peers, heard);
    return shares.share(SERVICE, nowMs);
  }

  private static List<String> without(List<String> names, String excluded) {
    return names.stream().filter(name -> !name.equals(excluded)).toList();
  }

  @Test
  void shouldHaveTheWholeShareWhenTheHostIsTheFirstForLongEnough() {
    PeerTable peers = tableOf(ranking.get(0));
    LimitShares shares = sharesOf(ranking.get(0), peers);
    assertThat(shareAfter(SETTLING_MS - STEP_MS, shares, peers, ranking)).isEqualTo(0.2);
    assertThat(shareAfter(STEP_MS, shares, peers, ranking)).isEqualTo(1);
  }

  @Test
  void shouldHaveLessOrNothingWhenTheHostIsNotTheFirst() {
    PeerTable second = tableOf(ranking.get(1));
    assertThat(shareAfter(20_000, sharesOf(ranking.get(1), second), second, ranking))
        .isEqualTo(0.2);
    PeerTable third = tableOf(ranking.get(2));
    assertThat(shareAfter(20_000, sharesOf(ranking.get(2), third), third, ranking)).isZero();
  }

  /** A host that has just started hears of nobody, but has read the others from the store. */
  @Test
  void shouldHaveHardlyAnythingWhenAStartedHostHasNotHeardOfTheOthers() {
    String self = ranking.get(3);
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    assertThat(shareAfter(20_000, shares, peers, List.of())).isEqualTo(0.05);
  }

  @Test
  void shouldHaveNothingWhenTheHostDoesNotKnowTheOthers() {
    var peers = new PeerTable("a", 3_500, new Random(1));
    peers.recordStart(host("a", 0), nowMs);
    knowsHosts = false;
    LimitShares shares = sharesOf("a", peers);
    assertThat(shareAfter(20_000, shares, peers, List.of())).isZero();
    knowsHosts = true;
    assertThat(shareAfter(STEP_MS, shares, peers, List.of())).isEqualTo(0.2);
  }

  @Test
  void shouldStartAgainWhenAnotherHostWasTheFirstMeanwhile() {
    String self = ranking.get(1);
    List<String> others = without(ranking, ranking.get(0));
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    assertThat(shareAfter(20_000, shares, peers, others)).isEqualTo(1);
    assertThat(shareAfter(STEP_MS, shares, peers, ranking)).isEqualTo(0.2);
    assertThat(shareAfter(SETTLING_MS, shares, peers, others)).isEqualTo(0.2);
    assertThat(shareAfter(8_000, shares, peers, others)).isEqualTo(1);
  }

  /** A host that was stopped does not know what happened meanwhile. */
  @Test
  void shouldStartAgainWhenTheHostHasNotLookedForAWhile() {
    String self = ranking.get(0);
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    assertThat(shareAfter(20_000, shares, peers, ranking)).isEqualTo(1);
    nowMs += LimitShares.MAX_GAP_MS + 1;
    assertThat(shares.share(SERVICE, nowMs)).isEqualTo(0.2);
    assertThat(shareAfter(SETTLING_MS, shares, peers, ranking)).isEqualTo(1);
  }

  @Test
  void shouldHaveLittleWhenMostHostsAreNotHeardOfAnyMore() {
    String self = ranking.get(0);
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    assertThat(shareAfter(20_000, shares, peers, ranking)).isEqualTo(1);
    assertThat(shareAfter(10_000, shares, peers, List.of(self, ranking.get(1)))).isEqualTo(0.1);
  }

  /** Guards against a host without links that judges a roll-out by its few own answers. */
  @Test
  void shouldLeadOnlyWhileTheHostHearsOfMostHosts() {
    String self = ranking.get(0);
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    shareAfter(20_000, shares, peers, ranking);
    assertThat(shares.isLeading(SERVICE, nowMs)).isTrue();
    shareAfter(10_000, shares, peers, List.of(self));
    assertThat(shares.isLeading(SERVICE, nowMs)).isFalse();
    shareAfter(1_000, shares, peers, ranking);
    assertThat(shares.isLeading(SERVICE, nowMs)).isTrue();
  }

  /** Guards against two halves of the hosts that both judge a roll-out. */
  @Test
  void shouldNotLeadWhenTheHostHearsOfHalfOfTheHosts() {
    String self = ranking.get(2);
    PeerTable peers = tableOf(self);
    LimitShares shares = sharesOf(self, peers);
    shareAfter(20_000, shares, peers, ranking);
    shareAfter(10_000, shares, peers, List.of(self, ranking.get(3)));
    assertThat(shares.isLeading(SERVICE, nowMs)).isFalse();
  }
}
