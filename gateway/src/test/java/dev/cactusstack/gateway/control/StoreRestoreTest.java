package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.recovery.RestoredRules;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A host whose store is restored to a state of 5 s ago, in virtual time. */
class StoreRestoreTest {
  private static final Address ADDRESS = new Address("127.0.0.1", 9);
  private static final long ERA = 3;
  private static final long NEXT_ERA = 4;
  private static final long POLL_MS = 710;

  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private final EventLog log = new EventLog(OutputStream.nullOutputStream());
  private final HostRegistration self =
      new HostRegistration("h", "dc", ADDRESS, ADDRESS, 600, StoreRevision.of(ERA, 90));
  private final PeerTable peers = new PeerTable("h", 3_500, new Random(1));
  private final List<ConfigurationSnapshot> announced = new ArrayList<>();
  private boolean isReader = true;
  private final ConfigurationController configuration =
      new ConfigurationController(
          time.loop(), time::nowMs, log, store, () -> isReader, peers::isStart);
  private final UpstreamsController upstreams =
      new UpstreamsController(
          time.loop(),
          time::nowMs,
          time::nowMs,
          log,
          store,
          configuration::activeConfiguration,
          () -> false);
  private final HostsController hosts =
      new HostsController(
          time.loop(),
          time::nowMs,
          time::nowMs,
          log,
          store,
          peers,
          new Link(time.loop(), log),
          configuration,
          self,
          new Random(1),
          () -> StoreContact.UNKNOWN,
          () -> true);

  @BeforeEach
  void start() {
    store.registeredHosts = List.of(self);
    store.onRestored(
        era -> {
          configuration.onStoreRestored();
          upstreams.onStoreRestored();
          hosts.onStoreRestored(era);
        });
    configuration.start(() -> {}, announced::add);
    hosts.start();
    completeConfigurationRead(configuration(ERA, 100, 7, "out"));
  }

  private static ConfigurationChange configuration(
      long era, long revision, long version, String... evacuated) {
    Map<String, Boolean> evacuations = new HashMap<>();
    Set.of(evacuated).forEach(dataCentre -> evacuations.put(dataCentre, true));
    var rules =
        new ConfigurationChange.RoutingRules(version, List.of(), Map.of(), CallerLimits.DEFAULT);
    long pair = StoreRevision.of(era, revision);
    return new ConfigurationChange(pair, pair, true, Optional.of(rules), evacuations);
  }

  private void completeConfigurationRead(ConfigurationChange change) {
    store.configurationReads.get(store.configurationReads.size() - 1).complete(change);
  }

  private SiteConfiguration active() {
    return configuration.activeConfiguration().orElseThrow();
  }

  private static UpstreamRegistration upstream(String id, boolean leaving, long announcement) {
    return new UpstreamRegistration(id, "s", ADDRESS, "dc", 4, leaving, 0, 1, announcement);
  }

  private static UpstreamChange upstreams(
      long era, long revision, UpstreamRegistration... registrations) {
    Map<String, Optional<UpstreamRegistration>> byId = new HashMap<>();
    for (UpstreamRegistration registration : registrations) {
      byId.put(registration.id(), Optional.of(registration));
    }
    return new UpstreamChange(StoreRevision.of(era, revision), true, byId, List.of());
  }

  private void completeUpstreamRead(UpstreamChange change) {
    store.upstreamReads.get(store.upstreamReads.size() - 1).complete(change);
  }

  private List<String> usableIds() {
    return upstreams.usableUpstreams("s").stream().map(UpstreamRegistration::id).sorted().toList();
  }

  /** Reads the upstreams before a restore, and again after it by the poll that finds it. */
  private void restoreBetweenReads(UpstreamChange before, UpstreamChange after) {
    upstreams.keepFresh();
    upstreams.runWhenFresh(() -> {});
    completeUpstreamRead(before);
    time.run(POLL_MS);
    store.restore(NEXT_ERA);
    store
        .upstreamReads
        .get(store.upstreamReads.size() - 1)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.HISTORY_UNAVAILABLE));
    completeUpstreamRead(after);
  }

  /** Guards against an older configuration that replaces the one in force. */
  @Test
  void shouldKeepTheConfigurationWhenItChangedSinceTheRestoredState() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 6, "out"));
    time.run(RestoredRules.HOLD_MS - 100);
    assertThat(active().version()).isEqualTo(7);
    store
        .configurationWatches
        .get(store.configurationWatches.size() - 1)
        .complete(configuration(NEXT_ERA, 81, 8, "out"));
    assertThat(active().version()).isEqualTo(8);
  }

  /** Guards against hosts that go on with a configuration that the store doesn't have. */
  @Test
  void shouldTakeTheOlderConfigurationWhenTheStoreServesItForTheWholeTime() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 6, "out"));
    time.run(RestoredRules.HOLD_MS + 100);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 6, "out"));
    assertThat(active().version()).isEqualTo(6);
  }

  private void completeWatch(ConfigurationChange change) {
    store.configurationWatches.get(store.configurationWatches.size() - 1).complete(change);
  }

  private static ConfigurationChange evacuation(
      long revision, String dataCentre, boolean evacuated) {
    long pair = StoreRevision.of(NEXT_ERA, revision);
    return new ConfigurationChange(
        pair, pair, false, Optional.empty(), Map.of(dataCentre, evacuated));
  }

  /** Guards against requests to a data centre whose evacuation a restore has taken back. */
  @Test
  void shouldHoldAnEvacuationWhenTheRestoredStoreHasLostIt() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    assertThat(active().revision()).isEqualTo(StoreRevision.of(NEXT_ERA, 80));
    assertThat(active().evacuated()).containsExactly("out");
    completeWatch(configuration(NEXT_ERA, 81, 8));
    assertThat(active().version()).isEqualTo(8);
    time.run(RestoredRules.HOLD_MS - 100);
    assertThat(active().evacuated()).containsExactly("out");
    completeWatch(evacuation(82, "out", true));
    time.run(RestoredRules.HOLD_MS);
    assertThat(active().evacuated()).containsExactly("out");
  }

  /** Guards against an evacuation that is not taken because the rules beside it are older. */
  @Test
  void shouldTakeAnEvacuationWhenTheRestoredStoreHasOlderRules() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 6));
    completeWatch(configuration(NEXT_ERA, 81, 6, "out", "other"));
    assertThat(active().evacuated()).containsExactlyInAnyOrder("out", "other");
    assertThat(active().version()).isEqualTo(7);
  }

  /** Guards against a data centre that stays without requests although nobody wants that. */
  @Test
  void shouldEndAHeldEvacuationWhenItIsNotWrittenAgainInTime() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    int reads = store.configurationReads.size();
    time.run(RestoredRules.HOLD_MS + 10);
    assertThat(store.configurationReads).hasSize(reads + 1);
    store
        .configurationReads
        .get(reads)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    time.run(300);
    assertThat(store.configurationReads).hasSize(reads + 2);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    assertThat(active().evacuated()).isEmpty();
    time.run(1_000);
    assertThat(store.configurationReads).hasSize(reads + 2);
  }

  /** Guards against an evacuation that is held although operators have taken it back since. */
  @Test
  void shouldEndAHeldEvacuationWhenItIsTakenBack() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    completeWatch(evacuation(81, "out", true));
    completeWatch(evacuation(82, "out", false));
    assertThat(active().evacuated()).isEmpty();
  }

  /** Guards against an evacuation that hosts hold for each other without end. */
  @Test
  void shouldTellOtherHostsOnlyTheEvacuationsThatTheStoreHas() {
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    completeWatch(evacuation(81, "other", true));
    assertThat(active().evacuated()).containsExactlyInAnyOrder("out", "other");
    assertThat(configuration.snapshot().orElseThrow().configuration().evacuated())
        .containsExactly("other");
    assertThat(announced.get(announced.size() - 1).configuration().evacuated())
        .containsExactly("other");
  }

  /** Guards against a watch of the era before, which misses revisions that are given out again. */
  @Test
  void shouldReadAllAndIgnoreTheOldWatchWhenTheStoreIsRestored() {
    int reads = store.configurationReads.size();
    store.restore(NEXT_ERA);
    assertThat(store.configurationReads).hasSize(reads + 1);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    store.configurationWatches.get(0).complete(configuration(ERA, 101, 9, "out", "other"));
    assertThat(active().version()).isEqualTo(7);
    assertThat(active().revision()).isEqualTo(StoreRevision.of(NEXT_ERA, 80));
    assertThat(active().evacuated()).containsExactly("out");
    assertThat(store.watchedRevisions)
        .containsExactly(StoreRevision.of(ERA, 100), StoreRevision.of(NEXT_ERA, 80));
  }

  /** Guards against a read of the era before that arrives late. */
  @Test
  void shouldNotGoBackWhenAReadOfTheEraBeforeArrivesLate() {
    configuration.readUnwatched();
    var late = store.configurationReads.get(store.configurationReads.size() - 1);
    store.restore(NEXT_ERA);
    completeConfigurationRead(configuration(NEXT_ERA, 80, 7));
    late.complete(configuration(ERA, 110, 9, "out", "other"));
    assertThat(active().version()).isEqualTo(7);
    assertThat(active().revision()).isEqualTo(StoreRevision.of(NEXT_ERA, 80));
    assertThat(active().evacuated()).containsExactly("out");
  }

  /** Guards against a host whose lower revision of a later era is not taken by the others. */
  @Test
  void shouldTakeAConfigurationOfALaterEraFromAnotherHost() {
    var rules =
        new SiteConfiguration(
            StoreRevision.of(NEXT_ERA, 80), 7, List.of(), Map.of(), CallerLimits.DEFAULT, Set.of());
    configuration.onSnapshot(
        new ConfigurationSnapshot(rules, StoreRevision.of(NEXT_ERA, 79), NEXT_ERA));
    assertThat(active().revision()).isEqualTo(StoreRevision.of(NEXT_ERA, 80));
    assertThat(active().evacuated()).containsExactly("out");
    var old =
        new SiteConfiguration(
            StoreRevision.of(ERA, 120),
            9,
            List.of(),
            Map.of(),
            CallerLimits.DEFAULT,
            Set.of("out"));
    configuration.onSnapshot(new ConfigurationSnapshot(old, StoreRevision.of(ERA, 119), ERA));
    assertThat(active().version()).isEqualTo(7);
  }

  /** Guards against an upstream that is used again because its row of before it left is back. */
  @Test
  void shouldNotUseAnUpstreamAgainWhenItBeganToLeaveSinceTheRestoredState() {
    restoreBetweenReads(
        upstreams(ERA, 100, upstream("a", false, 1), upstream("b", true, 2)),
        upstreams(NEXT_ERA, 80, upstream("a", false, 1), upstream("b", false, 1)));
    assertThat(usableIds()).containsExactly("a");
  }

  /**
   * Guards against requests without any upstream until those that started lately register again.
   */
  @Test
  void shouldUseAnUpstreamForAWhileWhenItRegisteredSinceTheRestoredState() {
    restoreBetweenReads(
        upstreams(ERA, 100, upstream("a", false, 1), upstream("b", false, 1)),
        upstreams(NEXT_ERA, 80, upstream("a", false, 1)));
    assertThat(usableIds()).containsExactly("a", "b");
    assertThat(upstreams.ageMs("b")).isBetween(POLL_MS, 2 * POLL_MS);
    time.run(POLL_MS);
    completeUpstreamRead(upstreams(NEXT_ERA, 81, upstream("a", false, 1)));
    time.run(1_000);
    assertThat(usableIds()).containsExactly("a");
  }

  /**
   * Guards against a host that is missing in the restored store and unknown to hosts that start.
   */
  @Test
  void shouldWriteItsRegistrationAgainWhenTheStoreIsRestored() {
    store.restore(NEXT_ERA);
    assertThat(store.registrations).containsExactly(self, self);
    store.restore(NEXT_ERA);
    assertThat(store.registrations).hasSize(2);
  }

  /** Guards against a host without calls of its own to the store, which learns no era. */
  @Test
  void shouldWriteItsRegistrationAgainWhenAnotherHostKnowsALaterEra() {
    hosts.onGossip(
        new LinkMessage.Gossip(StoreRevision.of(NEXT_ERA, 80), List.of(), List.of()), ADDRESS);
    assertThat(store.registrations).containsExactly(self, self);
  }
}
