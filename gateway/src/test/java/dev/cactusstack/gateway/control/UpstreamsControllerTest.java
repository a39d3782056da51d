package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamsControllerTest {
  private final VirtualLoop time = new VirtualLoop();
  private final FakeStore store = new FakeStore();
  private Set<String> evacuated = Set.of();
  private final UpstreamsController controller =
      new UpstreamsController(
          time.loop(),
          time::nowMs,
          new EventLog(OutputStream.nullOutputStream()),
          store,
          () ->
              Optional.of(
                  new SiteConfiguration(
                      1, 1, List.of(), Map.of(), CallerLimits.DEFAULT, evacuated)));
  private int ran;

  private static UpstreamRegistration upstream(
      String id, boolean leaving, long coldForMs, long born) {
    return new UpstreamRegistration(
        id, "s", new Address("127.0.0.1", 80), "dc", 4, leaving, coldForMs, born);
  }

  private static UpstreamChange change(
      long revision, boolean complete, UpstreamRegistration... entries) {
    Map<String, Optional<UpstreamRegistration>> map = new HashMap<>();
    for (UpstreamRegistration e : entries) {
      map.put(e.id(), Optional.of(e));
    }
    return new UpstreamChange(revision, complete, map);
  }

  private static UpstreamChange gone(long revision, String id) {
    return new UpstreamChange(revision, false, Map.of(id, Optional.empty()));
  }

  private List<String> usable() {
    return controller.usableUpstreams("s").stream().map(UpstreamRegistration::id).sorted().toList();
  }

  /** Reads as long as this host is in use. */
  private void use() {
    controller.runWhenFresh(() -> ran++);
  }

  private void answer(int call, UpstreamChange c) {
    store.upstreamReads.get(call).complete(c);
  }

  @Test
  void shouldRunTheTaskOnceTheEntriesAreRead() {
    use();
    assertThat(ran).isZero();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(ran).isEqualTo(1);
    assertThat(usable()).containsExactly("a");
  }

  @Test
  void shouldRunTheTaskAnywayWhenTheStoreDoesNotAnswer() {
    use();
    time.run(200);
    assertThat(ran).isEqualTo(1);
  }

  @Test
  void shouldReadOnWhileInUseAndStopWhenNot() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    for (int i = 1; i <= 5; i++) {
      time.run(710);
      assertThat(store.upstreamReads).hasSize(i + 1);
      answer(i, change(10 + i, false));
    }
    time.run(5_000);
    int calls = store.upstreamReads.size();
    time.run(5_000);
    assertThat(store.upstreamReads).hasSize(calls);
  }

  @Test
  void shouldUseNoUpstreamWhenItLeavesOrItsDataCentreIsTakenOut() {
    use();
    answer(0, change(10, true, upstream("a", true, 0, 1), upstream("b", false, 0, 1)));
    assertThat(usable()).containsExactly("b");
    evacuated = Set.of("dc");
    assertThat(usable()).isEmpty();
  }

  @Test
  void shouldDropAnUpstreamAtOnceWhenItsEntryIsRemoved() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    answer(1, gone(11, "a"));
    assertThat(usable()).isEmpty();
  }

  @Test
  void shouldKeepAnUpstreamForAWhileWhenItsEntryLapsedWithTheStore() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    store
        .upstreamReads
        .get(1)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.NOT_APPLIED));
    time.run(710);
    answer(2, gone(11, "a"));
    assertThat(usable()).containsExactly("a");
    use();
    time.run(710);
    for (int i = 3; i < 7; i++) {
      answer(i, change(11, false));
      use();
      time.run(710);
    }
    assertThat(usable()).isEmpty();
  }

  @Test
  void shouldIgnoreAnEntryWhenItIsOfAnEarlierStart() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 5)));
    time.run(710);
    answer(1, change(11, false, upstream("a", true, 0, 4)));
    assertThat(usable()).containsExactly("a");
  }

  @Test
  void shouldCountTheColdTimeDownWhenTheEntryIsNotWrittenAgain() {
    use();
    answer(0, change(10, true, upstream("a", false, 3_000, 1)));
    time.run(1_000);
    assertThat(controller.usableUpstreams("s").get(0).warmupRemainingMs()).isEqualTo(2_000);
    time.run(2_500);
    assertThat(controller.usableUpstreams("s").get(0).warmupRemainingMs()).isZero();
  }

  @Test
  void shouldBeStaleWhenTheStoreCouldNotBeReadLately() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    assertThat(controller.isStale()).isFalse();
    time.run(1_400);
    assertThat(controller.isStale()).isTrue();
  }

  @Test
  void shouldReadAllWhenTheHistoryIsGone() {
    use();
    answer(0, change(10, true, upstream("a", false, 0, 1)));
    time.run(710);
    store
        .upstreamReads
        .get(1)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.HISTORY_UNAVAILABLE));
    assertThat(store.upstreamsAfter).containsExactly(-1L, 10L, -1L);
    answer(2, change(20, true, upstream("b", false, 0, 1)));
    assertThat(usable()).containsExactly("b");
  }
}
