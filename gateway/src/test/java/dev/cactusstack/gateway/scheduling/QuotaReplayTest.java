package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.quotas.QuotaShare;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays of faults at the sizes of real sites. Each replay is repeated without the decision that
 * it is about, and must then fail.
 */
class QuotaReplayTest {
  private static final double RATE = 20;
  private static final double BURST = 30;
  private static final double USUAL = RATE / 1.6;
  private static final double OVERLOAD = 7.5 * USUAL;
  private static final QuotaOwners.ShareRule RULE = QuotaShare::of;

  /**
   * Returns hosts that have been running for a while, with a quota that was in force throughout.
   */
  private static QuotaSimulation settled(int count, QuotaOwners.ShareRule rule) {
    var hosts = new QuotaSimulation(count, 3, rule);
    hosts.setQuota(RATE, BURST);
    hosts.run(9_000, 0);
    hosts.lostShare = 0.01;
    hosts.doubledShare = 0.05;
    return hosts;
  }

  /** Guards against refusals under the quota, and a wait of more than one round trip. */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldRefuseNothingWhenAWorkspaceStaysUnderItsQuota(int count) {
    QuotaSimulation hosts = settled(count, RULE);
    hosts.lostShare = 0;
    hosts.doubledShare = 0;
    hosts.run(20_000, 0.6 * RATE);
    hosts.run(2 * QuotaSimulation.MAX_ONE_WAY_MS, 0);
    assertThat(hosts.refusedAtMs).isEmpty();
    assertThat(hosts.ranAtMs).hasSizeGreaterThan(200);
    assertThat(hosts.maxWaitMs).isLessThanOrEqualTo(2 * QuotaSimulation.MAX_ONE_WAY_MS);
    assertThat(hosts.messages).isLessThanOrEqualTo(2L * hosts.ranAtMs.size());
  }

  /**
   * Guards against an owner that changes, and loses its bucket, when its calls to the store fail.
   */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldRefuseNothingWhenTheStoreFailsForTheOwnersOneAfterAnother(int count) {
    assertThat(storeFailing(count, false).refusedAtMs).isEmpty();
    assertThat(storeFailing(count, true).refusedAtMs).isNotEmpty();
  }

  private static QuotaSimulation storeFailing(int count, boolean ranksByStore) {
    QuotaSimulation hosts = settled(count, RULE);
    hosts.ranksByStore = ranksByStore;
    hosts.lostShare = 0;
    hosts.doubledShare = 0;
    hosts.run(3_000, 0.6 * RATE);
    Set<Integer> failing = new HashSet<>();
    hosts.storeContact =
        host -> failing.contains(host) ? StoreContact.FAILING : StoreContact.CONFIRMED;
    for (int i = 0; i < 2; i++) {
      failing.add(hosts.owner().index);
      hosts.run(3_000, 0.6 * RATE);
    }
    IntStream.range(0, count).forEach(failing::add);
    hosts.run(3_000, 0.6 * RATE);
    failing.clear();
    hosts.run(5_000, 0.6 * RATE);
    return hosts;
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldKeepTheQuotaWhenAWorkspaceSendsFarMoreThanUsual(int count) {
    QuotaSimulation hosts = overload(count, true);
    assertThat(hosts.worstExcess(RATE, BURST, 0)).isLessThanOrEqualTo(0);
    assertThat((double) hosts.ranBetween(hosts.nowMs - 10_000, hosts.nowMs))
        .isGreaterThan(0.95 * 10 * RATE);
    assertThat(overload(count, false).worstExcess(RATE, BURST, 0)).isGreaterThan(0);
  }

  /** Without one owner, each host counts alone. */
  private static QuotaSimulation overload(int count, boolean oneOwner) {
    QuotaSimulation hosts = settled(count, oneOwner ? RULE : (r, f, u, k, l) -> 1);
    hosts.asksOwner = oneOwner;
    hosts.unusedShare = 0.1;
    hosts.run(15_000, OVERLOAD);
    return hosts;
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldFollowTheQuotaWhenItIsCutAndRaisedAgain(int count) {
    QuotaSimulation hosts = cut(count, true);
    assertThat(hosts.worstExcess(2, 3, hosts.nowMs - 10_000)).isLessThanOrEqualTo(0);
    hosts.setQuota(RATE, BURST);
    long raisedAtMs = hosts.nowMs;
    hosts.run(5_000, USUAL);
    assertThat(hosts.refusedAtMs).allMatch(at -> at < raisedAtMs + 50);
    QuotaSimulation unchanged = cut(count, false);
    assertThat(unchanged.worstExcess(2, 3, unchanged.nowMs - 10_000)).isGreaterThan(0);
  }

  private static QuotaSimulation cut(int count, boolean followed) {
    QuotaSimulation hosts = settled(count, RULE);
    hosts.run(3_000, USUAL);
    hosts.ownersFollowChanges = followed;
    hosts.setQuota(2, 3);
    hosts.run(10_000, USUAL);
    return hosts;
  }

  /** Both parts hear of half of the hosts: neither may take itself for the whole. */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldKeepTheQuotaWhenHalfOfTheHostsAreCutOff(int count) {
    QuotaSimulation hosts = split(count, RULE);
    assertThat(hosts.worstExcess(RATE, BURST, 0)).isLessThanOrEqualTo(0);
    assertThat(hosts.ranBetween(hosts.nowMs - 10_000, hosts.nowMs - 5_000)).isPositive();
    QuotaOwners.ShareRule blind = (rank, first, usable, known, l) -> rank == 0 ? 1 : 0;
    assertThat(split(count, blind).worstExcess(RATE, BURST, 0)).isGreaterThan(0);
  }

  private static QuotaSimulation split(int count, QuotaOwners.ShareRule rule) {
    QuotaSimulation hosts = settled(count, rule);
    hosts.run(3_000, OVERLOAD);
    hosts.connected = (a, b) -> a % 2 == b % 2;
    hosts.run(15_000, OVERLOAD);
    hosts.connected = (a, b) -> true;
    hosts.run(7_000, OVERLOAD);
    return hosts;
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldGoOnWithTheSecondWhenTheOwnerIsLost(int count) {
    QuotaSimulation hosts = lose(count, RULE);
    assertThat(hosts.worstExcess(RATE, BURST, 0)).isLessThanOrEqualTo(0);
    long lostAtMs = hosts.nowMs - 16_000;
    assertThat(hosts.ranBetween(lostAtMs, lostAtMs + 3_000)).isPositive();
    assertThat((double) hosts.ranBetween(hosts.nowMs - 5_000, hosts.nowMs))
        .isGreaterThan(0.9 * 5 * RATE);
    QuotaSimulation withoutSecond =
        lose(count, (rank, f, u, k, l) -> rank == 0 ? RULE.share(rank, f, u, k, l) : 0);
    // The decisions of the owner may still arrive for some milliseconds.
    assertThat(withoutSecond.ranBetween(lostAtMs + 100, lostAtMs + 3_000)).isZero();
  }

  private static QuotaSimulation lose(int count, QuotaOwners.ShareRule rule) {
    QuotaSimulation hosts = settled(count, rule);
    hosts.run(6_000, OVERLOAD);
    hosts.owner().stop();
    hosts.run(16_000, OVERLOAD);
    return hosts;
  }

  /** Guards against a site that grants half of each quota although no earlier owner is left. */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldGrantTheWholeQuotaWhenAllHostsWereLostAndRestart(int count) {
    QuotaSimulation hosts = restart(count, RULE);
    assertThat(hosts.worstExcess(RATE, BURST, 0)).isLessThanOrEqualTo(0);
    double expected = 0.85 * 3 * RATE;
    assertThat((double) ranSinceRestart(hosts)).isGreaterThan(expected);
    QuotaOwners.ShareRule settling = (rank, f, u, k, l) -> RULE.share(rank, f, u, k, 60_000);
    assertThat((double) ranSinceRestart(restart(count, settling))).isLessThan(expected);
  }

  private static long ranSinceRestart(QuotaSimulation hosts) {
    return hosts.ranBetween(hosts.nowMs - 3_000, hosts.nowMs);
  }

  private static QuotaSimulation restart(int count, QuotaOwners.ShareRule rule) {
    QuotaSimulation hosts = settled(count, rule);
    hosts.run(3_000, OVERLOAD);
    hosts.hosts.forEach(QuotaSimulation.Host::stop);
    hosts.run(5_000, 0);
    List.copyOf(hosts.hosts).forEach(host -> host.start(2));
    hosts.run(4_500, OVERLOAD);
    return hosts;
  }
}
