package dev.cactusstack.decisions.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PeerTableTest {
  private static final long ROUND_MS = 400;
  private static final long DEAD_AFTER_MS = 3_500;

  private static HostRegistration host(String name, long incarnation) {
    int port = 1_000 + Math.floorMod(name.hashCode(), 50_000);
    return new HostRegistration(
        name,
        "dc",
        new Address("127.0.0.1", port),
        new Address("127.0.0.2", port),
        600,
        incarnation);
  }

  /** Hosts that gossip in virtual time. Messages to and from unreachable hosts are lost. */
  private static final class Cluster {
    final Map<String, PeerTable> tables = new HashMap<>();
    final Set<String> unreachable = new HashSet<>();
    final List<String> names;
    final Map<String, Long> incarnations = new HashMap<>();
    final SplittableRandom random;
    long nowMs;

    Cluster(int hosts, long seed) {
      random = new SplittableRandom(seed);
      names = IntStream.range(0, hosts).mapToObj(i -> "host-" + i).toList();
      for (String n : names) {
        var t = new PeerTable(n, DEAD_AFTER_MS, random.split());
        names.forEach(o -> t.recordStart(host(o, 1), 0));
        tables.put(n, t);
      }
    }

    void run(long ms) {
      for (long end = nowMs + ms; nowMs < end; nowMs += ROUND_MS) {
        for (String n : names) {
          if (!unreachable.contains(n)) {
            sendHeartbeats(n);
          }
        }
      }
    }

    private void sendHeartbeats(String from) {
      PeerTable sender = tables.get(from);
      List<HeartbeatState> heartbeats = sender.startRound(StoreContact.CONFIRMED, true, nowMs);
      for (HostRegistration to : sender.gossipTargets(3, nowMs)) {
        if (!unreachable.contains(to.name())) {
          tables.get(to.name()).mergeHeartbeats(heartbeats, nowMs);
        }
      }
    }

    /** Replaces a host's table by one that has heard of no host, in a new incarnation. */
    void restart(String name) {
      incarnations.merge(name, 2L, (old, first) -> old + 1);
      var table = new PeerTable(name, DEAD_AFTER_MS, random.split());
      names.forEach(o -> table.recordStart(host(o, incarnations.getOrDefault(o, 1L)), nowMs));
      tables.put(name, table);
      tables.values().forEach(t -> t.recordStart(host(name, incarnations.get(name)), nowMs));
    }

    Set<String> usableHostsOf(String observer) {
      return tables.get(observer).usableHosts(nowMs).stream()
          .map(HostRegistration::name)
          .collect(Collectors.toSet());
    }
  }

  @Test
  void shouldConsiderAllHostsAliveWhenAllGossip() {
    for (int hosts : new int[] {2, 13, 113}) {
      var cluster = new Cluster(hosts, 7);
      cluster.run(6_000);
      for (String n : cluster.names) {
        assertThat(cluster.usableHostsOf(n)).as("%s of %d", n, hosts).hasSize(hosts);
      }
    }
  }

  @Test
  void shouldConsiderAHostDeadWithinSixSecondsWhenItsHeartbeatsStop() {
    for (int hosts : new int[] {13, 113}) {
      var cluster = new Cluster(hosts, 11);
      cluster.run(6_000);
      cluster.unreachable.add("host-1");
      cluster.run(6_000);
      List<String> others = new ArrayList<>(cluster.names);
      others.remove("host-1");
      for (String n : others) {
        assertThat(cluster.usableHostsOf(n)).doesNotContain("host-1").hasSize(hosts - 1);
      }
    }
  }

  @Test
  void shouldNotConsiderAHostAliveWhenItsCounterHasNeverIncreased() {
    var t = new PeerTable("a", DEAD_AFTER_MS, new SplittableRandom(1));
    t.recordStart(host("a", 1), 0);
    t.recordStart(host("b", 1), 0);
    assertThat(t.usableHosts(0)).extracting(HostRegistration::name).containsExactly("a");
  }

  @Test
  void shouldIgnoreACounterOfAnEarlierIncarnationWhenTheHostHasRestarted() {
    var t = new PeerTable("a", DEAD_AFTER_MS, new SplittableRandom(1));
    t.recordStart(host("a", 1), 0);
    t.recordStart(host("b", 5), 0);
    t.mergeHeartbeats(
        List.of(
            new HeartbeatState(PeerTable.hash("b"), 4, 1_000, false, StoreContact.CONFIRMED, true)),
        10);
    assertThat(t.usableHosts(20)).extracting(HostRegistration::name).containsExactly("a");
    t.mergeHeartbeats(
        List.of(new HeartbeatState(PeerTable.hash("b"), 5, 1, false, StoreContact.CONFIRMED, true)),
        30);
    assertThat(t.usableHosts(40)).hasSize(2);
  }

  /**
   * Guards against a dead host that stays in the directory because each host that starts takes the
   * heartbeat it is told for new, and passes it on to the next one.
   */
  @Test
  void shouldConsiderAHostDeadWithinSixSecondsWhenOtherHostsStartOneAfterAnother() {
    var cluster = new Cluster(13, 11);
    cluster.run(6_000);
    cluster.unreachable.add("host-1");
    long deadSinceMs = cluster.nowMs;
    for (int i = 2; i < 13; i++) {
      cluster.restart("host-" + i);
      cluster.run(1_000);
      if (cluster.nowMs - deadSinceMs >= 6_000) {
        for (String n : cluster.names.subList(2, 13)) {
          assertThat(cluster.usableHostsOf(n)).as("%s", n).doesNotContain("host-1");
        }
      }
    }
  }

  @Test
  void shouldExcludeAHostWhenItAnnouncesThatItIsLeaving() {
    var cluster = new Cluster(13, 3);
    cluster.run(4_000);
    cluster.tables.get("host-2").markLeaving();
    cluster.run(2_000);
    for (String n : cluster.names) {
      assertThat(cluster.usableHostsOf(n)).doesNotContain("host-2");
    }
  }

  @Test
  void shouldReportWhetherAHostHasReadTheStoreWhenHostsFail() {
    var cluster = new Cluster(3, 5);
    cluster.run(4_000);
    PeerTable table = cluster.tables.get("host-0");
    table.startRound(StoreContact.FAILING, true, cluster.nowMs);
    assertThat(table.isStoreConfirmed(cluster.nowMs)).isTrue();
    cluster.unreachable.addAll(List.of("host-1", "host-2"));
    cluster.run(4_000);
    table.startRound(StoreContact.FAILING, true, cluster.nowMs);
    assertThat(table.isStoreConfirmed(cluster.nowMs)).isFalse();
  }

  /** Returns how many of the targets of 300 rounds are in another data centre. */
  private static int countRemoteTargets(int hostsPerDataCentre) {
    var a = new Address("127.0.0.1", 80);
    var table = new PeerTable("near0", 3_500, new java.util.Random(3));
    for (int i = 0; i < hostsPerDataCentre; i++) {
      table.recordStart(new HostRegistration("near" + i, "near", a, a, 600, 1), 0);
      table.recordStart(new HostRegistration("far" + i, "far", a, a, 600, 1), 0);
    }
    int remote = 0;
    for (int round = 0; round < 300; round++) {
      List<HostRegistration> targets = table.gossipTargets(3, 0);
      assertThat(targets).hasSize(3).doesNotHaveDuplicates();
      assertThat(targets).extracting(HostRegistration::name).doesNotContain("near0");
      remote += (int) targets.stream().filter(e -> e.dataCentre().equals("far")).count();
    }
    return remote;
  }

  @Test
  void shouldChooseLocalTargetsAndOftenARemoteOneWhenThereAreSeveralDataCentres() {
    assertThat(countRemoteTargets(20)).isBetween(100, 220);
    assertThat(countRemoteTargets(6)).isBetween(150, 240);
  }

  @Test
  void shouldChooseAsManyTargetsWhenThereIsOneDataCentre() {
    PeerTable table = tableWithHosts("self", "a", "b", "c", "d");
    for (int round = 0; round < 50; round++) {
      assertThat(table.gossipTargets(3, 0)).hasSize(3);
    }
  }

  /** Guards against traffic between data centres that grows with the number of their hosts. */
  @Test
  void shouldSendAsMuchToOtherDataCentresWhenADataCentreHasMoreHosts() {
    int of30 = 30 * countRemoteTargets(30);
    int of300 = 300 * countRemoteTargets(300);
    assertThat(of300).isLessThan((int) (of30 * 1.7));
  }

  private static PeerTable tableWithHosts(String... names) {
    var a = new Address("127.0.0.1", 80);
    var table = new PeerTable("self", 3_500, new java.util.Random(3));
    for (String name : names) {
      table.recordStart(new HostRegistration(name, "dc", a, a, 600, 1), 0);
    }
    return table;
  }

  private static void receive(
      PeerTable table, String name, long counter, StoreContact contact, boolean knowsUpstreams) {
    table.mergeHeartbeats(
        List.of(
            new HeartbeatState(PeerTable.hash(name), 1, counter, false, contact, knowsUpstreams)),
        0);
  }

  private static List<String> schedulers(PeerTable table) {
    return table.eligibleSchedulers(0).stream().map(HostRegistration::name).sorted().toList();
  }

  /** Guards against requests that every host sends to a scheduler the store turns away. */
  @Test
  void shouldNotAllowASchedulerWhoseCallsToTheStoreFail() {
    PeerTable table = tableWithHosts("self", "failing", "idle");
    table.startRound(StoreContact.UNKNOWN, false, 0);
    receive(table, "failing", 1, StoreContact.FAILING, true);
    receive(table, "idle", 1, StoreContact.UNKNOWN, false);
    assertThat(schedulers(table)).containsExactly("idle", "self");
    assertThat(table.isStoreOutage(0)).isFalse();
    receive(table, "idle", 2, StoreContact.CONFIRMED, true);
    assertThat(schedulers(table)).containsExactly("idle", "self");
  }

  private static void runRounds(PeerTable table, StoreContact contact, long fromMs, long toMs) {
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += ROUND_MS) {
      table.startRound(contact, true, nowMs);
    }
  }

  /** Registrations that expired in an outage are still missing right after it. */
  @Test
  void shouldRememberAnOutageOfTheStoreForAWhile() {
    PeerTable table = tableWithHosts("self");
    runRounds(table, StoreContact.FAILING, 0, 2_000);
    runRounds(table, StoreContact.CONFIRMED, 2_400, 2_400);
    assertThat(table.isStoreOutage(2_400)).isFalse();
    assertThat(table.wasStoreOutage(2_400)).isTrue();
    assertThat(table.wasStoreOutage(4_100)).isFalse();
  }

  /** Guards against an outage that is remembered because connections of all hosts went silent. */
  @Test
  void shouldNotRememberAnOutageOfTheStoreWhenItWasOneFailure() {
    PeerTable table = tableWithHosts("self");
    runRounds(table, StoreContact.FAILING, 0, 400);
    runRounds(table, StoreContact.CONFIRMED, 800, 800);
    assertThat(table.wasStoreOutage(800)).isFalse();
  }

  @Test
  void shouldAllowOnlySchedulersThatKnowUpstreamsWhenTheStoreIsUnavailable() {
    PeerTable table = tableWithHosts("self", "with-upstreams", "without-upstreams", "idle");
    table.startRound(StoreContact.FAILING, false, 0);
    receive(table, "with-upstreams", 1, StoreContact.FAILING, true);
    receive(table, "without-upstreams", 1, StoreContact.FAILING, false);
    receive(table, "idle", 1, StoreContact.UNKNOWN, false);
    assertThat(table.isStoreOutage(0)).isTrue();
    assertThat(schedulers(table)).containsExactly("with-upstreams");
    receive(table, "idle", 2, StoreContact.CONFIRMED, true);
    assertThat(table.isStoreOutage(0)).isFalse();
    assertThat(schedulers(table)).containsExactly("idle");
  }

  private static PeerTable tableOf(String... names) {
    var table = new PeerTable("self", DEAD_AFTER_MS, new SplittableRandom(1));
    table.recordStart(host("self", 1), 0);
    for (String name : names) {
      table.recordStart(host(name, 1), 0);
    }
    return table;
  }

  private static HeartbeatState heartbeat(String name, long counter, boolean leaving) {
    return new HeartbeatState(
        PeerTable.hash(name), 1, counter, leaving, StoreContact.CONFIRMED, true);
  }

  /** A host reads the others from the store when it starts, before it hears of them. */
  @Test
  void shouldCountHostsThatWereRecordedLatelyAndNotHeardOf() {
    PeerTable table = tableOf("a", "b");
    assertThat(table.usableHosts(0)).hasSize(1);
    assertThat(table.countUsableWithin(60_000, 59_999)).isEqualTo(3);
    assertThat(table.countUsableWithin(60_000, 60_000)).isEqualTo(1);
  }

  @Test
  void shouldCountADeadHostForThePeriodAfterItWasAlive() {
    PeerTable table = tableOf("a");
    table.mergeHeartbeats(List.of(heartbeat("a", 1, false)), 100_000);
    long deadAtMs = 100_000 + DEAD_AFTER_MS;
    assertThat(table.usableHosts(deadAtMs)).hasSize(1);
    assertThat(table.countUsableWithin(60_000, deadAtMs + 59_999)).isEqualTo(2);
    assertThat(table.countUsableWithin(60_000, deadAtMs + 60_000)).isEqualTo(1);
  }

  @Test
  void shouldNotCountHostsThatLeave() {
    PeerTable table = tableOf("a", "b");
    table.mergeHeartbeats(List.of(heartbeat("a", 1, true)), 100);
    assertThat(table.countUsableWithin(60_000, 200)).isEqualTo(2);
    table.markLeaving();
    assertThat(table.countUsableWithin(60_000, 200)).isEqualTo(1);
  }

  private static HeartbeatState heartbeat(
      String name, long counter, StoreContact contact, long ageMs) {
    return new HeartbeatState(PeerTable.hash(name), 1, counter, false, contact, true)
        .withAge(ageMs);
  }

  /** Guards against a heartbeat that is passed on for long and taken for a new one. */
  @Test
  void shouldTellTheAgeOfTheYoungestHeartbeatOfAHostThatHasReadTheStore() {
    var table = new PeerTable("self", DEAD_AFTER_MS, new SplittableRandom(1));
    List.of("self", "a", "b", "c").forEach(name -> table.recordStart(host(name, 1), 0));
    assertThat(table.confirmedHeartbeatAgeMs(0)).isEmpty();
    table.startRound(StoreContact.CONFIRMED, true, 900);
    table.mergeHeartbeats(
        List.of(
            heartbeat("a", 5, StoreContact.CONFIRMED, 700),
            heartbeat("b", 5, StoreContact.CONFIRMED, 300),
            heartbeat("c", 5, StoreContact.UNKNOWN, 10)),
        1_000);
    assertThat(table.confirmedHeartbeatAgeMs(1_000)).hasValue(300);
    assertThat(table.confirmedHeartbeatAgeMs(1_500)).hasValue(800);
    table.mergeHeartbeats(List.of(heartbeat("b", 6, StoreContact.FAILING, 0)), 1_500);
    assertThat(table.confirmedHeartbeatAgeMs(1_500)).hasValue(1_200);
  }

  /** Guards against a restarted host that takes itself for one of a fleet that has just started. */
  @Test
  void shouldKnowForHowLongAnyHostHasBeenRunning() {
    var cluster = new Cluster(18, 5);
    cluster.run(4_000);
    assertThat(cluster.tables.get("host-3").longestRunningMs(cluster.nowMs)).isEqualTo(4_000);
    cluster.run(20_000);
    cluster.restart("host-3");
    assertThat(cluster.tables.get("host-3").longestRunningMs(cluster.nowMs)).isZero();
    cluster.run(2_000);
    assertThat(cluster.tables.get("host-3").longestRunningMs(cluster.nowMs)).isGreaterThan(20_000);
  }

  private static PeerTable tableWith(HostRegistration other) {
    var table = new PeerTable("self", DEAD_AFTER_MS, new SplittableRandom(1));
    table.recordStart(host("self", StoreRevision.of(2, 90)), 0);
    table.recordStart(other, 0);
    return table;
  }

  private static HeartbeatState heartbeat(String name, long incarnation, long counter) {
    return new HeartbeatState(
        PeerTable.hash(name), incarnation, counter, false, StoreContact.UNKNOWN, true);
  }

  /** A row that was written before a restore does not tell the era of its revision. */
  @Test
  void shouldTakeTheEraFromAHeartbeatWhenTheRowDoesNotTellIt() {
    PeerTable table = tableWith(host("other", 7));
    long incarnation = StoreRevision.of(1, 7);
    table.mergeHeartbeats(List.of(heartbeat("other", incarnation, 3)), 10);
    assertThat(table.usableHosts(20)).contains(host("other", incarnation));
  }

  /** Guards against a host that restarts after a restore and whose lower revision looks old. */
  @Test
  void shouldRecognizeARestartWhenItsRevisionIsLowerInALaterEra() {
    PeerTable table = tableWith(host("other", StoreRevision.of(1, 70)));
    HostRegistration restarted = host("other", StoreRevision.of(2, 60));
    assertThat(table.recordStart(restarted, 10)).isTrue();
    table.mergeHeartbeats(List.of(heartbeat("other", StoreRevision.of(1, 70), 99)), 20);
    table.mergeHeartbeats(List.of(heartbeat("other", restarted.incarnation(), 1)), 30);
    assertThat(table.usableHosts(40)).contains(restarted);
    assertThat(table.recordStart(host("other", StoreRevision.of(1, 70)), 50)).isFalse();
  }

  /** Guards against a restart that is not noticed because its revision was given out again. */
  @Test
  void shouldRecognizeARestartWhenItsRevisionIsTheSameInALaterEra() {
    PeerTable table = tableWith(host("other", StoreRevision.of(1, 70)));
    table.mergeHeartbeats(List.of(heartbeat("other", StoreRevision.of(1, 70), 99)), 5);
    HostRegistration restarted = host("other", StoreRevision.of(2, 70));
    assertThat(table.recordStart(restarted, 10)).isTrue();
    table.mergeHeartbeats(List.of(heartbeat("other", restarted.incarnation(), 1)), 4_000);
    assertThat(table.usableHosts(4_010)).contains(restarted);
  }
}
