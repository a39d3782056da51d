package dev.cactusstack.decisions.gossip;

import static org.assertj.core.api.Assertions.assertThat;

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

  /** Hosts that gossip in virtual time; messages to and from the silent ones are lost. */
  private static final class Site {
    final Map<String, PeerTable> tables = new HashMap<>();
    final Set<String> silent = new HashSet<>();
    final List<String> names;
    long nowMs;

    Site(int hosts, long seed) {
      var random = new SplittableRandom(seed);
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
          if (!silent.contains(n)) {
            tell(n);
          }
        }
      }
    }

    private void tell(String from) {
      PeerTable t = tables.get(from);
      List<HeartbeatState> pulses = t.startRound(true, true, nowMs);
      for (HostRegistration to : t.gossipTargets(3, nowMs)) {
        if (!silent.contains(to.name())) {
          tables.get(to.name()).mergeHeartbeats(pulses, nowMs);
        }
      }
    }

    Set<String> usable(String at) {
      return tables.get(at).usableHosts(nowMs).stream().map(HostRegistration::name).collect(Collectors.toSet());
    }
  }

  @Test
  void shouldKnowAllAsAliveWhenAllGossip() {
    for (int hosts : new int[] {2, 13, 113}) {
      var site = new Site(hosts, 7);
      site.run(6_000);
      for (String n : site.names) {
        assertThat(site.usable(n)).as("%s of %d", n, hosts).hasSize(hosts);
      }
    }
  }

  @Test
  void shouldTakeAHostForDeadWithinSixSecondsWhenItFallsSilent() {
    for (int hosts : new int[] {13, 113}) {
      var site = new Site(hosts, 11);
      site.run(6_000);
      site.silent.add("host-1");
      site.run(6_000);
      List<String> others = new ArrayList<>(site.names);
      others.remove("host-1");
      for (String n : others) {
        assertThat(site.usable(n)).doesNotContain("host-1").hasSize(hosts - 1);
      }
    }
  }

  @Test
  void shouldNotCountAHostAsAliveWhenItsCounterWasNeverHeardToRise() {
    var t = new PeerTable("a", DEAD_AFTER_MS, new SplittableRandom(1));
    t.recordStart(host("a", 1), 0);
    t.recordStart(host("b", 1), 0);
    assertThat(t.usableHosts(0)).extracting(HostRegistration::name).containsExactly("a");
  }

  @Test
  void shouldIgnoreAnOldStartsCounterWhenTheHostHasStartedAgain() {
    var t = new PeerTable("a", DEAD_AFTER_MS, new SplittableRandom(1));
    t.recordStart(host("a", 1), 0);
    t.recordStart(host("b", 5), 0);
    t.mergeHeartbeats(List.of(new HeartbeatState(PeerTable.hash("b"), 4, 1_000, false, true, true)), 10);
    assertThat(t.usableHosts(20)).extracting(HostRegistration::name).containsExactly("a");
    t.mergeHeartbeats(List.of(new HeartbeatState(PeerTable.hash("b"), 5, 1, false, true, true)), 30);
    assertThat(t.usableHosts(40)).hasSize(2);
  }

  @Test
  void shouldLeaveOutAHostWhenItTellsThatItIsLeaving() {
    var site = new Site(13, 3);
    site.run(4_000);
    site.tables.get("host-2").markLeaving();
    site.run(2_000);
    for (String n : site.names) {
      assertThat(site.usable(n)).doesNotContain("host-2");
    }
  }

  @Test
  void shouldTellWhetherOthersReachTheStoreWhenThisHostDoesNot() {
    var site = new Site(3, 5);
    site.run(4_000);
    assertThat(site.tables.get("host-0").anotherHostReachesStore(site.nowMs)).isTrue();
    site.silent.addAll(List.of("host-1", "host-2"));
    site.run(4_000);
    assertThat(site.tables.get("host-0").anotherHostReachesStore(site.nowMs)).isFalse();
  }

  @Test
  void shouldTellHostsOfItsDataCentreAndOneAnywhere() {
    var a = new Address("127.0.0.1", 80);
    var table = new PeerTable("near0", 3_500, new java.util.Random(3));
    for (int i = 0; i < 20; i++) {
      table.recordStart(new HostRegistration("near" + i, "near", a, a, 600, 1), 0);
      table.recordStart(new HostRegistration("far" + i, "far", a, a, 600, 1), 0);
    }
    int far = 0;
    for (int round = 0; round < 300; round++) {
      List<HostRegistration> told = table.gossipTargets(3, 0);
      assertThat(told).hasSize(3).doesNotHaveDuplicates();
      assertThat(told).extracting(HostRegistration::name).doesNotContain("near0");
      far += (int) told.stream().filter(e -> e.dataCentre().equals("far")).count();
    }
    assertThat(far).isBetween(100, 220);
  }

  @Test
  void shouldLetOnlyHostsScheduleThatKnowUpstreamsWhileNobodyReachesTheStore() {
    var a = new Address("127.0.0.1", 80);
    var table = new PeerTable("self", 3_500, new java.util.Random(3));
    for (String name : List.of("self", "knows", "blank")) {
      table.recordStart(new HostRegistration(name, "dc", a, a, 600, 1), 0);
    }
    table.startRound(false, false, 0);
    table.mergeHeartbeats(
        List.of(
            new HeartbeatState(PeerTable.hash("knows"), 1, 1, false, false, true),
            new HeartbeatState(PeerTable.hash("blank"), 1, 1, false, true, false)),
        0);
    assertThat(table.eligibleSchedulers(0)).hasSize(3);
    table.mergeHeartbeats(List.of(new HeartbeatState(PeerTable.hash("blank"), 1, 2, false, false, false)), 0);
    assertThat(table.eligibleSchedulers(0)).extracting(HostRegistration::name).containsExactly("knows");
    table.mergeHeartbeats(List.of(new HeartbeatState(PeerTable.hash("knows"), 1, 2, true, false, true)), 0);
    assertThat(table.eligibleSchedulers(0)).hasSize(2);
  }
}
