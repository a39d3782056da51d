package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.ConfigurationReaders;
import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.HostRegistration;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A host that relies on the configuration readers of a site of six hosts. */
class HostsControllerTest {
  private static final Address ANY_ADDRESS = new Address("127.0.0.1", 9);
  private static final long GOSSIP_INTERVAL_MS = 400;

  /** Time after which a host that was stopped counts as in touch again. */
  private static final long CONTACT_MS = 3_000;

  /** Time within which a change has to be in force on each host. */
  private static final long CHANGE_BOUND_MS = 2_000;

  private static final List<HostRegistration> HOSTS =
      IntStream.range(0, 6)
          .mapToObj(
              i -> new HostRegistration("host-" + i, "dc", ANY_ADDRESS, ANY_ADDRESS, 600, i + 1))
          .toList();
  private static final List<HostRegistration> READERS = readers();
  private static final HostRegistration SELF =
      HOSTS.stream().filter(host -> !READERS.contains(host)).findFirst().orElseThrow();

  private long suspendedMs;
  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private final EventLog log = new EventLog(OutputStream.nullOutputStream());
  private final PeerTable peers = new PeerTable(SELF.name(), 3_500, new Random(1));
  private final ConfigurationController configuration =
      new ConfigurationController(
          time.loop(),
          time::nowMs,
          log,
          store,
          () -> hosts().isConfigurationReader(),
          peers::isStart);
  private final HostsController hosts =
      new HostsController(
          time.loop(),
          time::nowMs,
          () -> time.nowMs() + suspendedMs,
          log,
          store,
          peers,
          new Link(time.loop(), log),
          configuration,
          SELF,
          new Random(1),
          () -> StoreContact.UNKNOWN,
          () -> true);
  private long counter;

  private static List<HostRegistration> readers() {
    var policy = new ConfigurationReaders(3);
    return HOSTS.stream().filter(host -> policy.isReader(host, HOSTS)).toList();
  }

  private HostsController hosts() {
    return hosts;
  }

  @BeforeEach
  void start() {
    store.registeredHosts = HOSTS;
    configuration.start(() -> {}, snapshot -> {});
    hosts.start();
    store.configurationReads.get(0).complete(configurationOf(1));
  }

  private static ConfigurationChange configurationOf(long version) {
    var rules =
        new ConfigurationChange.RoutingRules(version, List.of(), Map.of(), CallerLimits.DEFAULT);
    return new ConfigurationChange(10 + version, 10 + version, true, Optional.of(rules), Map.of());
  }

  /** Receives gossip, relayed by one host, about hosts that sent their heartbeats some time ago. */
  private void receiveGossip(List<HostRegistration> senders, long ageMs) {
    counter++;
    List<HeartbeatState> heartbeats =
        senders.stream()
            .map(
                host ->
                    new HeartbeatState(
                        PeerTable.hash(host.name()),
                        host.incarnation(),
                        counter,
                        false,
                        StoreContact.UNKNOWN,
                        true,
                        ageMs))
            .toList();
    hosts.onGossip(new LinkMessage.Gossip(11, List.of(), heartbeats), ANY_ADDRESS);
  }

  private void runWithGossip(List<HostRegistration> senders, long ms) {
    for (long elapsedMs = 0; elapsedMs < ms; elapsedMs += GOSSIP_INTERVAL_MS) {
      receiveGossip(senders, 0);
      time.run(GOSSIP_INTERVAL_MS);
    }
  }

  private List<HostRegistration> othersThan(List<HostRegistration> excluded) {
    return HOSTS.stream().filter(host -> !excluded.contains(host) && !host.equals(SELF)).toList();
  }

  /**
   * Guards against a host that goes on with an old configuration because all hosts that watch the
   * store are dead and the failure detector has not noticed it yet.
   */
  @Test
  void shouldReadTheStoreWithinTheBoundOfAChangeWhenAllReadersAreSilent() {
    runWithGossip(othersThan(List.of()), 8_000);
    assertThat(store.configurationReads).hasSize(1);
    runWithGossip(othersThan(READERS), CHANGE_BOUND_MS - GOSSIP_INTERVAL_MS);
    assertThat(store.configurationReads).hasSize(2);
    store.configurationReads.get(1).complete(configurationOf(2));
    assertThat(configuration.activeConfiguration().orElseThrow().version()).isEqualTo(2);
  }

  /** Guards against a change that comes after the first read of a host that replaces readers. */
  @Test
  void shouldReadAgainWithinTheBoundOfAChangeWhenTheReadersRemainSilent() {
    runWithGossip(othersThan(List.of()), 8_000);
    runWithGossip(othersThan(READERS), CHANGE_BOUND_MS);
    int reads = store.configurationReads.size();
    store.configurationReads.get(reads - 1).complete(configurationOf(2));
    runWithGossip(othersThan(READERS), CHANGE_BOUND_MS - GOSSIP_INTERVAL_MS);
    assertThat(store.configurationReads.size()).isGreaterThan(reads);
  }

  /** Guards against old heartbeats of dead readers that still arrive from other hosts. */
  @Test
  void shouldReadTheStoreWhenOnlyOldHeartbeatsOfReadersArrive() {
    runWithGossip(othersThan(List.of()), 8_000);
    time.run(GOSSIP_INTERVAL_MS);
    receiveGossip(READERS, GOSSIP_INTERVAL_MS);
    time.run(1_100);
    receiveGossip(READERS, 1_400);
    time.run(100);
    assertThat(store.configurationReads).hasSize(2);
  }

  /**
   * Guards against a host that was stopped and names a dead host, because a heartbeat that waited
   * until the host ran again looks new.
   */
  @Test
  void shouldForgetADeadHostSoonerWhenTheProcessWasStopped() {
    HostRegistration dead = othersThan(READERS).get(0);
    runWithGossip(othersThan(List.of()), 8_000);
    time.stop(5_000);
    receiveGossip(othersThan(List.of()), 0);
    runWithGossip(othersThan(List.of(dead)), CONTACT_MS);
    assertThat(peers.usableHosts(time.nowMs()))
        .contains(SELF)
        .containsAll(READERS)
        .doesNotContain(dead);
  }

  /** The same for a suspended machine, whose monotonic clock does not count that time. */
  @Test
  void shouldForgetADeadHostSoonerWhenTheMachineWasSuspended() {
    HostRegistration dead = othersThan(READERS).get(0);
    runWithGossip(othersThan(List.of()), 8_000);
    suspendedMs += 5_000;
    receiveGossip(othersThan(List.of()), 0);
    runWithGossip(othersThan(List.of(dead)), CONTACT_MS);
    assertThat(peers.usableHosts(time.nowMs())).containsAll(READERS).doesNotContain(dead);
  }

  @Test
  void shouldNotReadTheStoreWhenOneReaderIsHeardOf() {
    runWithGossip(othersThan(List.of()), 8_000);
    runWithGossip(READERS.subList(1, 2), 2_800);
    assertThat(store.configurationReads).hasSize(1);
  }
}
