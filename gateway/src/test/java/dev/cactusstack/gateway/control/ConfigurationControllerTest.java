package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.StoreFailure;
import dev.cactusstack.model.site.CallerLimits;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationControllerTest {
  private final VirtualLoop time = new VirtualLoop();
  private final FakeStore store = new FakeStore();
  private final ConfigurationController controller =
      new ConfigurationController(
          time.loop(), time::nowMs, new EventLog(OutputStream.nullOutputStream()), store);

  private static ConfigurationChange change(
      long revision, boolean complete, long version, Map<String, Boolean> evacuations) {
    Optional<ConfigurationChange.Rules> rules =
        version == 0
            ? Optional.empty()
            : Optional.of(
                new ConfigurationChange.Rules(version, List.of(), Map.of(), CallerLimits.DEFAULT));
    return new ConfigurationChange(revision, revision, complete, rules, evacuations);
  }

  private long version() {
    return controller.inForce().orElseThrow().version();
  }

  @BeforeEach
  void start() {
    controller.start(() -> {});
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
    store.watches.get(0).completeExceptionally(FakeStore.failure(StoreFailure.Kind.UNKNOWN));
    assertThat(store.reads).hasSize(2);
    store.reads.get(1).complete(change(20, true, 4, Map.of("dc", true)));
    assertThat(version()).isEqualTo(4);
    assertThat(controller.inForce().orElseThrow().evacuated()).containsExactly("dc");
    assertThat(store.watchedAfter).containsExactly(10L, 20L);
  }

  @Test
  void shouldReadAllAgainWhenTheHistoryIsGone() {
    store.reads.get(0).complete(change(10, true, 1, Map.of("dc", true)));
    store.watches.get(0).completeExceptionally(FakeStore.failure(StoreFailure.Kind.HISTORY_GONE));
    store.reads.get(1).complete(change(30, true, 1, Map.of()));
    assertThat(controller.inForce().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldNeverGoBackWhenAnOlderAnswerComesLate() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    controller.heardOf(15);
    time.run(400);
    store.watches.get(0).complete(change(20, false, 5, Map.of()));
    store.reads.get(1).complete(change(16, true, 2, Map.of("dc", true)));
    assertThat(version()).isEqualTo(5);
    assertThat(controller.inForce().orElseThrow().evacuated()).isEmpty();
  }

  @Test
  void shouldReadWhenOthersKnowOfAChangeThatTheWatchDoesNotTell() {
    store.reads.get(0).complete(change(10, true, 1, Map.of()));
    controller.heardOf(15);
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
      store.reads.get(i).completeExceptionally(FakeStore.failure(StoreFailure.Kind.NOT_DONE));
      assertThat(store.reads).hasSize(i + 1);
      time.run(300);
      assertThat(store.reads).hasSize(i + 2);
    }
    assertThat(controller.failing()).isTrue();
    store.reads.get(3).complete(change(9, true, 1, Map.of()));
    assertThat(controller.failing()).isFalse();
  }

  @Test
  void shouldKnowOfAnEvacuationWhenItIsOlderThanTheFirstConfiguration() {
    store.reads.get(0).complete(change(5, true, 0, Map.of("dc", true)));
    assertThat(controller.inForce()).isEmpty();
    store.watches.get(0).complete(change(8, false, 1, Map.of()));
    store.reads.get(1).complete(change(8, true, 1, Map.of("dc", true)));
    assertThat(controller.inForce().orElseThrow().evacuated()).containsExactly("dc");
  }
}
