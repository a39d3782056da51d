package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.Workspace;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationControllerTest {
  private static final long HOST_START = 14;

  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private final List<ConfigurationSnapshot> announced = new ArrayList<>();
  private final List<Long> queriedRevisions = new ArrayList<>();
  private boolean isReader = true;
  private final ConfigurationController controller =
      new ConfigurationController(
          time.loop(),
          time::nowMs,
          new EventLog(OutputStream.nullOutputStream()),
          store,
          () -> isReader,
          revision -> revision == HOST_START);

  private static ConfigurationChange change(
      long revision, boolean complete, long version, Map<String, Boolean> evacuations) {
    Optional<ConfigurationChange.RoutingRules> rules =
        version == 0
            ? Optional.empty()
            : Optional.of(
                new ConfigurationChange.RoutingRules(
                    version, List.of(), Map.of(), CallerLimits.DEFAULT));
    return new ConfigurationChange(revision, revision, complete, rules, evacuations);
  }

  private long version() {
    return controller.activeConfiguration().orElseThrow().version();
  }

  @BeforeEach
  void start() {
    controller.start(() -> {}, announced::add);
  }

  @Test
  void shouldWatchFromTheRevisionReadWhenTheFirstReadSucceeds() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(store.watchedRevisions).containsExactly(10L);
    store.configurationWatches.get(0).complete(change(12, false, 3, Map.of()));
    assertThat(version()).isEqualTo(3);
    assertThat(store.watchedRevisions).containsExactly(10L, 12L);
  }

  @Test
  void shouldRereadAllWhenTheWatchFails() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    store
        .configurationWatches
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    assertThat(store.configurationReads).hasSize(2);
    store.configurationReads.get(1).complete(change(20, true, 4, Map.of("dc", true)));
    assertThat(version()).isEqualTo(4);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("dc");
    assertThat(store.watchedRevisions).containsExactly(10L, 20L);
  }

  @Test
  void shouldRereadAllWhenTheHistoryIsUnavailable() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of("dc", true)));
    store
        .configurationWatches
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.HISTORY_UNAVAILABLE));
    store.configurationReads.get(1).complete(change(30, true, 1, Map.of()));
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldNotRevertWhenAnOlderReadCompletesLate() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, queriedRevisions::add);
    time.run(400);
    store.configurationWatches.get(0).complete(change(20, false, 5, Map.of()));
    store.configurationReads.get(1).complete(change(16, true, 2, Map.of("dc", true)));
    assertThat(version()).isEqualTo(5);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldReadTheStoreWhenTheWatchMissesAnAnnouncedChange() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, queriedRevisions::add);
    time.run(100);
    assertThat(store.configurationReads).hasSize(1);
    time.run(300);
    assertThat(store.configurationReads).hasSize(2);
    store.configurationReads.get(1).complete(change(15, true, 2, Map.of()));
    assertThat(version()).isEqualTo(2);
  }

  /**
   * Guards against a host that goes on with an old configuration because the connection of its
   * watch went silent, while its reads of upstreams show that the store has changed.
   */
  @Test
  void shouldReadTheStoreWhenTheWatchDoesNotExplainAChange() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onOtherRevisions(List.of(13L));
    time.run(200);
    assertThat(store.configurationReads).hasSize(1);
    time.run(300);
    assertThat(store.configurationReads).hasSize(2);
    store.configurationReads.get(1).complete(change(13, true, 2, Map.of()));
    assertThat(version()).isEqualTo(2);
    controller.onOtherRevisions(List.of());
    time.run(1_000);
    assertThat(store.configurationReads).hasSize(2);
  }

  @Test
  void shouldReadTheStoreAgainWhenAnUnexplainedChangeCouldNotBeRead() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onOtherRevisions(List.of(13L));
    time.run(500);
    store
        .configurationReads
        .get(1)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    controller.onOtherRevisions(List.of());
    time.run(500);
    assertThat(store.configurationReads).hasSize(3);
  }

  @Test
  void shouldNotReadTheStoreWhenAChangeIsExplained() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onOtherRevisions(List.of(9L, 12L, HOST_START));
    store.configurationWatches.get(0).complete(change(12, false, 2, Map.of()));
    time.run(1_000);
    assertThat(store.configurationReads).hasSize(1);
  }

  /** Guards against other hosts that keep a data centre out which only one host knows is back. */
  @Test
  void shouldAnnounceANewerRevisionWhenAFullReadShowsThatAnEvacuationWasTakenBack() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of("dc", true)));
    controller.readUnwatched();
    store
        .configurationReads
        .get(1)
        .complete(
            new ConfigurationChange(15, 8, true, change(8, true, 1, Map.of()).rules(), Map.of()));
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).isEmpty();
    assertThat(controller.lastChangeRevision()).isEqualTo(15);
    assertThat(announced).hasSize(1);
  }

  /** Other hosts need no datagram for a revision at which the configuration did not change. */
  @Test
  void shouldNotAnnounceTheConfigurationWhenOnlyTheRevisionIsNewer() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    store
        .configurationWatches
        .get(0)
        .complete(new ConfigurationChange(12, 0, false, Optional.empty(), Map.of()));
    assertThat(controller.activeConfiguration().orElseThrow().revision()).isEqualTo(12);
    assertThat(announced).isEmpty();
  }

  @Test
  void shouldRetryWithDelaysWhenTheStoreIsUnavailable() {
    for (int i = 0; i < 3; i++) {
      store
          .configurationReads
          .get(i)
          .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
      assertThat(store.configurationReads).hasSize(i + 1);
      time.run(300);
      assertThat(store.configurationReads).hasSize(i + 2);
    }
    assertThat(controller.isStoreFailing()).isTrue();
    store.configurationReads.get(3).complete(change(9, true, 1, Map.of()));
    assertThat(controller.isStoreFailing()).isFalse();
  }

  @Test
  void shouldApplyAnEvacuationWhenItIsOlderThanTheFirstConfiguration() {
    store.configurationReads.get(0).complete(change(5, true, 0, Map.of("dc", true)));
    assertThat(controller.activeConfiguration()).isEmpty();
    store.configurationWatches.get(0).complete(change(8, false, 1, Map.of()));
    store.configurationReads.get(1).complete(change(8, true, 1, Map.of("dc", true)));
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("dc");
  }

  private static ConfigurationSnapshot snapshot(long revision, long version, String... evacuated) {
    var configuration =
        new SiteConfiguration(
            revision, version, List.of(), Map.of(), CallerLimits.DEFAULT, Set.of(evacuated));
    return new ConfigurationSnapshot(configuration, revision, 0);
  }

  @Test
  void shouldNotWatchTheStoreWhenItIsNotAReader() {
    isReader = false;
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(version()).isEqualTo(1);
    assertThat(store.configurationWatches).isEmpty();
  }

  @Test
  void shouldRereadAllAndWatchWhenItBecomesAReader() {
    isReader = false;
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    isReader = true;
    controller.updateReaderRole();
    controller.updateReaderRole();
    assertThat(store.configurationReads).hasSize(2);
    store.configurationReads.get(1).complete(change(14, true, 2, Map.of()));
    assertThat(version()).isEqualTo(2);
    assertThat(store.watchedRevisions).containsExactly(14L);
  }

  @Test
  void shouldApplyASnapshotOfAnotherHostWhenItIsNewer() {
    isReader = false;
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of("a", true)));
    controller.onSnapshot(snapshot(12, 2, "b"));
    assertThat(version()).isEqualTo(2);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("b");
    controller.onSnapshot(snapshot(11, 1));
    controller.onSnapshot(snapshot(13, 1));
    assertThat(version()).isEqualTo(2);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("b");
  }

  @Test
  void shouldApplyASnapshotOfAnotherHostWhenTheStoreIsUnavailable() {
    store
        .configurationReads
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    controller.onSnapshot(snapshot(12, 2));
    assertThat(version()).isEqualTo(2);
  }

  @Test
  void shouldQueryTheAnnouncingHostBeforeTheStoreWhenAChangeIsAnnounced() {
    isReader = false;
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, queriedRevisions::add);
    assertThat(queriedRevisions).containsExactly(10L);
    controller.onSnapshot(snapshot(15, 2));
    time.run(1_000);
    assertThat(store.configurationReads).hasSize(1);
  }

  @Test
  void shouldAnnounceLaterChangesButNotTheFirstReadWhenItHasStarted() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(announced).isEmpty();
    store.configurationWatches.get(0).complete(change(12, false, 3, Map.of()));
    controller.onSnapshot(snapshot(14, 4));
    assertThat(announced)
        .extracting(ConfigurationSnapshot::lastChangeRevision)
        .containsExactly(12L, 14L);
  }

  @Test
  void shouldNotReadTheStoreWhenAHostWithoutConfigurationAnnouncesItsRevision() {
    controller.onRevisionAnnounced(0, queriedRevisions::add);
    time.run(500);
    assertThat(queriedRevisions).isEmpty();
    assertThat(store.configurationReads).hasSize(1);
  }

  /** Guards against hosts that the store turns away and that call it again and again. */
  @Test
  void shouldRetryLessOftenWhenTheStoreKeepsFailing() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    store
        .configurationWatches
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    for (int read = 1; read <= 6; read++) {
      store
          .configurationReads
          .get(read)
          .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
      time.run(1_510);
    }
    time.run(0);
    assertThat(store.configurationReads.size()).isBetween(7, 8);
  }

  private static ConfigurationChange changeOfKeys(long revision, long version, Workspace... all) {
    Map<String, Workspace> workspaces =
        Arrays.stream(all).collect(Collectors.toMap(Workspace::name, workspace -> workspace));
    var rules =
        new ConfigurationChange.RoutingRules(
            version, List.of(), Map.of(), CallerLimits.DEFAULT, CallerAccess.byApiKey(workspaces));
    return new ConfigurationChange(revision, revision, true, Optional.of(rules), Map.of());
  }

  private static Workspace workspace(String name, String key) {
    return new Workspace(name, Set.of(ApiKeyDigest.of(key)), OptionalInt.empty(), 0, 0);
  }

  @Test
  void shouldForgetAKeyWhenANewVersionNoLongerHasIt() {
    store
        .configurationReads
        .get(0)
        .complete(changeOfKeys(10, 1, workspace("a", "k1"), workspace("b", "k2")));
    assertThat(controller.workspaceKeys().find(ApiKeyDigest.of("k1"))).isPresent();
    store.configurationWatches.get(0).complete(changeOfKeys(11, 2, workspace("b", "k2")));
    assertThat(controller.workspaceKeys().find(ApiKeyDigest.of("k1"))).isEmpty();
    assertThat(controller.workspaceKeys().find(ApiKeyDigest.of("k2"))).isPresent();
  }

  /** Guards against a site that is open, by the store or another host, without a workspace left. */
  @Test
  void shouldRequireAKeyWhenANewVersionHasNoWorkspaceLeft() {
    store.configurationReads.get(0).complete(changeOfKeys(10, 1, workspace("a", "k1")));
    store.configurationWatches.get(0).complete(changeOfKeys(11, 2));
    assertThat(controller.workspaceKeys().areRequired()).isTrue();
    assertThat(announced.get(0).toChange().rules().orElseThrow().access())
        .isEqualTo(CallerAccess.byApiKey(Map.of()));
  }

  /** Guards against a change from an open site to one without workspaces that has no effect. */
  @Test
  void shouldRequireAKeyWhenAnEmptyTableOfWorkspacesIsAdded() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(controller.workspaceKeys().areRequired()).isFalse();
    store.configurationWatches.get(0).complete(changeOfKeys(11, 2));
    assertThat(controller.workspaceKeys().areRequired()).isTrue();
  }

  /** Guards against keys that are lost because a new version of the configuration is unusable. */
  @Test
  void shouldKeepTheKeysWhenAChangeHasNoValidRules() {
    store.configurationReads.get(0).complete(changeOfKeys(10, 1, workspace("a", "k1")));
    store
        .configurationWatches
        .get(0)
        .complete(new ConfigurationChange(11, 11, false, Optional.empty(), Map.of()));
    assertThat(controller.workspaceKeys().find(ApiKeyDigest.of("k1"))).isPresent();
  }

  @Test
  void shouldKnowTheAgeOfItsLastReadFromWhenItWasRequested() {
    assertThat(controller.readAgeMs()).isGreaterThan(Integer.MAX_VALUE);
    time.run(500);
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(controller.readAgeMs()).isEqualTo(500);
    controller.readUnwatched();
    time.run(300);
    store
        .configurationReads
        .get(1)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    assertThat(controller.readAgeMs()).isEqualTo(800);
  }

  /** Guards against a 401 for a new key while the configuration that has it is still on its way. */
  @Test
  void shouldKnowThatItMayBeBehindUntilItHasTheAnnouncedChange() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(controller.mayBeBehind()).isFalse();
    controller.onRevisionAnnounced(15, queriedRevisions::add);
    assertThat(controller.mayBeBehind()).isTrue();
    store.configurationWatches.get(0).complete(change(15, false, 2, Map.of()));
    assertThat(controller.mayBeBehind()).isFalse();
  }

  /** Guards against a host that answers 503 for ever, because another announced what never came. */
  @Test
  void shouldForgetAnAnnouncementWhenItIsNotRepeated() {
    store.configurationReads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, queriedRevisions::add);
    time.run(1_200);
    assertThat(controller.mayBeBehind()).isTrue();
    time.run(200);
    assertThat(controller.mayBeBehind()).isFalse();
  }
}
