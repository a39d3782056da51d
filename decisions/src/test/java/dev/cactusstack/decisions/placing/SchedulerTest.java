package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceRule;
import dev.cactusstack.model.site.UpstreamEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SchedulerTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 0.45, 1.5, 5);
  private static final ServiceRule RULE = new ServiceRule("s", "/health", 100, 3_000, 14);

  private final Scheduler scheduler = new Scheduler(SETTINGS);
  private long number;

  private static UpstreamEntry upstream(String id, int slots, long coldForMs) {
    return new UpstreamEntry(
        id, "s", new Address("127.0.0.1", 80), "dc", slots, false, coldForMs, 1);
  }

  private Ask ask(long waitMs, String... tried) {
    return new Ask(
        new AskKey(1, ++number), "dc", "r", 1, 300, waitMs, 0, Set.of(tried));
  }

  private static Report end(Verdict v, AttemptEnd end, int pacePercent) {
    String id = ((Verdict.Placed) v).upstream().id();
    var load = new LoadFigures(0, 0, 2, pacePercent);
    return new Report(v.key(), id, end, 90, Optional.of(load));
  }

  private static String placed(Verdict v) {
    return v instanceof Verdict.Placed p ? p.upstream().id() : v.getClass().getSimpleName();
  }

  @Test
  void shouldNeverHoldMoreThanTheSlotsWhenAsksKeepComing() {
    scheduler.upstreams(RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0)), 0);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      counts.merge(placed(scheduler.ask(ask(300), 0)), 1, Integer::sum);
    }
    assertThat(counts).containsEntry("a", 2).containsEntry("b", 2).containsEntry("Waits", 2);
  }

  @Test
  void shouldGiveAFreedSlotToTheOneWhoWaitsWhenAnAttemptEnds() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    Verdict first = scheduler.ask(ask(300), 0);
    Ask waiting = ask(300);
    scheduler.ask(waiting, 0);
    List<Verdict> next = scheduler.report(end(first, AttemptEnd.ANSWERED, 100), 50);
    assertThat(next).hasSize(1);
    assertThat(next.get(0).key()).isEqualTo(waiting.key());
  }

  @Test
  void shouldCountAnEndOnceWhenItIsToldTwice() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    Report ended = end(scheduler.ask(ask(0), 0), AttemptEnd.ANSWERED, 100);
    scheduler.report(ended, 10);
    Verdict second = scheduler.ask(ask(0), 20);
    scheduler.report(ended, 30);
    assertThat(placed(second)).isEqualTo("a");
    assertThat(scheduler.ask(ask(0), 40)).isInstanceOf(Verdict.TurnedAway.class);
  }

  @Test
  void shouldFreeTheSlotWhenThePlacedRequestIsWithdrawn() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    Ask lost = ask(0);
    scheduler.ask(lost, 0);
    scheduler.withdraw(lost.key());
    assertThat(placed(scheduler.ask(ask(0), 1))).isEqualTo("a");
  }

  @Test
  void shouldTurnAwayAtOnceWhenTheWaitWouldBeTooLong() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    scheduler.ask(ask(300), 0);
    assertThat(scheduler.ask(ask(10), 0)).isInstanceOf(Verdict.TurnedAway.class);
  }

  @Test
  void shouldTurnAwayWhenTheWaitEnds() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    scheduler.ask(ask(300), 0);
    Ask waiting = ask(200);
    scheduler.ask(waiting, 0);
    assertThat(scheduler.tick(199)).isEmpty();
    assertThat(scheduler.tick(200))
        .singleElement()
        .isInstanceOfSatisfying(
            Verdict.TurnedAway.class, t -> assertThat(t.key()).isEqualTo(waiting.key()));
  }

  @Test
  void shouldAvoidAnUpstreamWhenItHasJustSaidThatItIsSlow() {
    scheduler.upstreams(RULE, List.of(upstream("a", 2, 0), upstream("b", 2, 0)), 0);
    Verdict first = scheduler.ask(ask(0), 0);
    String slow = placed(first);
    scheduler.report(end(first, AttemptEnd.ANSWERED, 700), 100);
    assertThat(placed(scheduler.ask(ask(0), 110))).isNotEqualTo(slow);
  }

  @Test
  void shouldAvoidAnUpstreamWhenARequestOnItIsOverdue() {
    scheduler.upstreams(RULE, List.of(upstream("a", 4, 0), upstream("b", 4, 0)), 0);
    String hanging = placed(scheduler.ask(ask(0), 0));
    for (int i = 0; i < 3; i++) {
      assertThat(placed(scheduler.ask(ask(0), 1_000 + i))).isNotEqualTo(hanging);
    }
  }

  @Test
  void shouldRestAnUpstreamAndTryItAgainWhenItKeepsFailing() {
    scheduler.upstreams(RULE, List.of(upstream("a", 4, 0), upstream("b", 4, 0)), 0);
    for (int i = 0; i < 2; i++) {
      Ask a = ask(0, "b");
      scheduler.report(end(scheduler.ask(a, i), AttemptEnd.BROKEN, 100), i);
    }
    List<String> soon = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      soon.add(placed(scheduler.ask(ask(0), 10)));
    }
    assertThat(soon).doesNotContain("a");
    assertThat(placed(scheduler.ask(ask(0, "b"), 600))).isEqualTo("a");
  }

  @Test
  void shouldUseRestingUpstreamsWhenThereAreNoOthers() {
    scheduler.upstreams(RULE, List.of(upstream("a", 4, 0)), 0);
    for (int i = 0; i < 5; i++) {
      scheduler.report(end(scheduler.ask(ask(0), i), AttemptEnd.REFUSED, 100), i);
    }
    assertThat(placed(scheduler.ask(ask(0), 6))).isEqualTo("a");
  }

  @Test
  void shouldKeepItsPartOfTheColdBoundWhenAllUpstreamsAreCold() {
    scheduler.upstreams(RULE, List.of(upstream("a", 100, 3_000)), 0);
    int sent = 0;
    for (long now = 0; now < 1_000; now += 10) {
      Verdict v = scheduler.ask(ask(0), now);
      if (v instanceof Verdict.Placed) {
        sent++;
        scheduler.report(end(v, AttemptEnd.ANSWERED, 100), now + 5);
      }
    }
    assertThat(sent).isEqualTo(SETTINGS.coldBound(RULE.coldPerSecond()));
    assertThat(sent * 2).isLessThanOrEqualTo((int) (14 * 1.5 + 5));
  }

  @Test
  void shouldPreferTheAskersDataCentreWhenTheBodyIsLarge() {
    UpstreamEntry far =
        new UpstreamEntry("far", "s", new Address("127.0.0.1", 80), "dc2", 4, false, 0, 1);
    scheduler.upstreams(RULE, List.of(upstream("near", 4, 0), far), 0);
    var upload = new Ask(new AskKey(1, 1), "dc2", "r", 1, 300, 0, 60_000, Set.of());
    assertThat(placed(scheduler.ask(upload, 0))).isEqualTo("far");
  }

  @Test
  void shouldTurnAwayWhenEveryUpstreamWasTried() {
    scheduler.upstreams(RULE, List.of(upstream("a", 4, 0)), 0);
    assertThat(scheduler.ask(ask(300, "a"), 0)).isInstanceOf(Verdict.TurnedAway.class);
  }

  @Test
  void shouldServeThoseFirstWhoCanStillBeOnTimeWhenSlotsAreShort() {
    scheduler.upstreams(RULE, List.of(upstream("a", 1, 0)), 0);
    Verdict running = scheduler.ask(ask(1_000), 0);
    var hopeless = new Ask(new AskKey(2, 1), "dc", "r", 1, 50, 1_000, 0, Set.of());
    var urgent = new Ask(new AskKey(2, 2), "dc", "r", 1, 500, 1_000, 0, Set.of());
    scheduler.ask(hopeless, 0);
    scheduler.ask(urgent, 0);
    List<Verdict> next = scheduler.report(end(running, AttemptEnd.ANSWERED, 100), 100);
    assertThat(next).extracting(Verdict::key).containsExactly(urgent.key());
  }
}
