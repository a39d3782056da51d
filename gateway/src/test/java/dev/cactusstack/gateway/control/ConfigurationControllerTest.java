package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationControllerTest {
  private final VirtualLoop time = new VirtualLoop();
  private final FakeStore store = new FakeStore();
  private final List<ConfigurationSnapshot> told = new ArrayList<>();
  private final List<Long> asked = new ArrayList<>();
  private boolean reader = true;
  private final ConfigurationController controller =
      new ConfigurationController(
          time.loop(),
          time::nowMs,
          new EventLog(OutputStream.nullOutputStream()),
          store,
          () -> reader);

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
    controller.start(() -> {}, told::add);
  }

  @Test
  void shouldWatchFromWhatItReadWhenItHasReadAll() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(store.watchedAfter).containsExactly(10L);
    store.watches.get(0).complete(change(12, false, 3, Map.of()));
    assertThat(version()).isEqualTo(3);
    assertThat(store.watchedAfter).containsExactly(10L, 12L);
  }

  @Test
  void shouldReadAllAgainWhenTheWatchWasLost() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    store.watches.get(0).completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    assertThat(store.reads).hasSize(2);
    store.reads.get(1).complete(change(20, true, 4, Map.of("dc", true)));
    assertThat(version()).isEqualTo(4);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("dc");
    assertThat(store.watchedAfter).containsExactly(10L, 20L);
  }

  @Test
  void shouldReadAllAgainWhenTheHistoryIsGone() {
    store.reads.get(0).complete(change(10, true, 1, Map.of("dc", true)));
    store
        .watches
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.HISTORY_UNAVAILABLE));
    store.reads.get(1).complete(change(30, true, 1, Map.of()));
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldNeverGoBackWhenAnOlderAnswerComesLate() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, asked::add);
    time.run(400);
    store.watches.get(0).complete(change(20, false, 5, Map.of()));
    store.reads.get(1).complete(change(16, true, 2, Map.of("dc", true)));
    assertThat(version()).isEqualTo(5);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldReadWhenOthersKnowOfAChangeThatTheWatchDoesNotTell() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, asked::add);
    time.run(100);
    assertThat(store.reads).hasSize(1);
    time.run(300);
    assertThat(store.reads).hasSize(2);
    store.reads.get(1).complete(change(15, true, 2, Map.of()));
    assertThat(version()).isEqualTo(2);
  }

  @Test
  void shouldKeepAskingWithPausesWhenTheStoreIsAway() {
    for (int i = 0; i < 3; i++) {
      store.reads.get(i).completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
      assertThat(store.reads).hasSize(i + 1);
      time.run(300);
      assertThat(store.reads).hasSize(i + 2);
    }
    assertThat(controller.isStoreFailing()).isTrue();
    store.reads.get(3).complete(change(9, true, 1, Map.of()));
    assertThat(controller.isStoreFailing()).isFalse();
  }

  @Test
  void shouldKnowOfAnEvacuationWhenItIsOlderThanTheFirstConfiguration() {
    store.reads.get(0).complete(change(5, true, 0, Map.of("dc", true)));
    assertThat(controller.activeConfiguration()).isEmpty();
    store.watches.get(0).complete(change(8, false, 1, Map.of()));
    store.reads.get(1).complete(change(8, true, 1, Map.of("dc", true)));
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("dc");
  }

  private static ConfigurationSnapshot known(long revision, long version, String... evacuated) {
    var c =
        new SiteConfiguration(
            revision, version, List.of(), Map.of(), CallerLimits.DEFAULT, Set.of(evacuated));
    return new ConfigurationSnapshot(c, revision);
  }

  @Test
  void shouldNotWatchTheStoreWhenOthersReadIt() {
    reader = false;
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(version()).isEqualTo(1);
    assertThat(store.watches).isEmpty();
  }

  @Test
  void shouldReadAllAndWatchWhenItBecomesAReader() {
    reader = false;
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    reader = true;
    controller.updateReaderRole();
    controller.updateReaderRole();
    assertThat(store.reads).hasSize(2);
    store.reads.get(1).complete(change(14, true, 2, Map.of()));
    assertThat(version()).isEqualTo(2);
    assertThat(store.watchedAfter).containsExactly(14L);
  }

  @Test
  void shouldTakeOverWhatAnotherHostHasInForceWhenItIsNewer() {
    reader = false;
    store.reads.get(0).complete(change(10, true, 1, Map.of("a", true)));
    controller.onSnapshot(known(12, 2, "b"));
    assertThat(version()).isEqualTo(2);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("b");
    controller.onSnapshot(known(11, 1));
    controller.onSnapshot(known(13, 1));
    assertThat(version()).isEqualTo(2);
    assertThat(controller.activeConfiguration().orElseThrow().evacuated()).containsExactly("b");
  }

  @Test
  void shouldStartFromAnotherHostWhenTheStoreIsAway() {
    store.reads.get(0).completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    controller.onSnapshot(known(12, 2));
    assertThat(version()).isEqualTo(2);
  }

  @Test
  void shouldAskTheHostThatKnowsOfAChangeBeforeTheStore() {
    reader = false;
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    controller.onRevisionAnnounced(15, asked::add);
    assertThat(asked).containsExactly(10L);
    controller.onSnapshot(known(15, 2));
    time.run(1_000);
    assertThat(store.reads).hasSize(1);
  }

  @Test
  void shouldTellOthersOfAChangeButNotOfWhatItReadAtItsStart() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    assertThat(told).isEmpty();
    store.watches.get(0).complete(change(12, false, 3, Map.of()));
    controller.onSnapshot(known(14, 4));
    assertThat(told)
        .extracting(ConfigurationSnapshot::lastChangeRevision)
        .containsExactly(12L, 14L);
  }
}
