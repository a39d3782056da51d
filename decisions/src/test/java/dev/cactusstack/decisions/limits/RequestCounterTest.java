package dev.cactusstack.decisions.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestCounterTest {
  private static final long WINDOW_MS = 4_000;

  private static RequestCounter counter(double limit, double share, long nowMs) {
    var counter = new RequestCounter(nowMs);
    counter.update(limit, share, nowMs);
    return counter;
  }

  private static int countAll(RequestCounter counter, long nowMs) {
    int counted = 0;
    while (counter.tryCount(nowMs)) {
      counted++;
    }
    return counted;
  }

  /** Guards against a new scheduler that allows a burst right after the former one's. */
  @Test
  void shouldStartEmpty() {
    RequestCounter counter = counter(50, 1, 1_000);
    assertThat(counter.tryCount(1_000)).isFalse();
    assertThat(counter.timeUntilAllowedMs(1_000)).isEqualTo(20);
    assertThat(counter.tryCount(1_020)).isTrue();
    assertThat(counter.tryCount(1_020)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"0, 1, 1", "0.5, 1, 1", "1.1, 1, 1", "2, 1, 2", "50, 1, 2", "50, 0.25, 1"})
  void shouldBoundTheBurstAfterAnIdlePeriod(double limit, double share, int expected) {
    RequestCounter counter = counter(limit, share, 0);
    assertThat(countAll(counter, 3_600_000)).isEqualTo(expected);
  }

  @Test
  void shouldGainNothingWhenTheLimitRises() {
    RequestCounter counter = counter(1, 1, 0);
    counter.update(50, 1, 500);
    assertThat(counter.available(500)).isEqualTo(0.5);
    assertThat(counter.timeUntilAllowedMs(500)).isEqualTo(10);
  }

  @Test
  void shouldDropTheBurstWhenTheShareFalls() {
    RequestCounter counter = counter(50, 1, 0);
    counter.update(50, 0.25, 10_000);
    assertThat(countAll(counter, 10_000)).isEqualTo(1);
  }

  @Test
  void shouldAllowNothingWithoutAShare() {
    RequestCounter counter = counter(50, 1, 0);
    counter.update(50, 0, 10_000);
    assertThat(counter.tryCount(3_600_000)).isFalse();
    assertThat(counter.timeUntilAllowedMs(3_600_000)).isInfinite();
    counter.update(50, 0.25, 3_600_000);
    assertThat(counter.tryCount(3_600_000)).isFalse();
  }

  @Test
  void shouldAllowATrialRequestWhenTheLimitIsZero() {
    RequestCounter counter = counter(0, 1, 0);
    assertThat(counter.timeUntilAllowedMs(0)).isEqualTo(4_000);
    assertThat(counter.tryCount(3_999)).isFalse();
    assertThat(counter.tryCount(4_000)).isTrue();
  }

  @Test
  void shouldAllowAnotherRequestWhenOneWasNotSent() {
    RequestCounter counter = counter(1, 1, 0);
    assertThat(counter.tryCount(1_000)).isTrue();
    counter.takeBack(1_000, 1_010);
    assertThat(countAll(counter, 1_010)).isEqualTo(1);
  }

  /** Guards against placements that are held, returned together and used at once. */
  @Test
  void shouldNotTakeBackWhatWasCountedLongAgo() {
    RequestCounter counter = counter(1, 1, 0);
    assertThat(counter.tryCount(1_000)).isTrue();
    counter.takeBack(1_000, 1_501);
    assertThat(counter.available(1_501)).isLessThan(1);
  }

  /** Three schedulers at once, each of which never hears of the others. */
  @Property(tries = 200, seed = "32")
  void shouldStayWithinTheBoundWhenThreeSchedulersCount(
      @ForAll @DoubleRange(min = 0, max = 60) double limit,
      @ForAll @Size(min = 50, max = 300) List<@IntRange(min = 0, max = 400) Integer> gapsMs) {
    List<RequestCounter> counters =
        List.of(counter(limit, 1, 0), counter(limit, 0.25, 0), counter(limit, 0.25, 0));
    List<Long> countedAtMs = new ArrayList<>();
    long nowMs = 0;
    for (int gapMs : gapsMs) {
      nowMs += gapMs;
      for (RequestCounter counter : counters) {
        while (counter.tryCount(nowMs)) {
          countedAtMs.add(nowMs);
        }
      }
    }
    for (long endMs : countedAtMs) {
      long inWindow =
          countedAtMs.stream().filter(at -> at > endMs - WINDOW_MS && at <= endMs).count();
      assertThat((double) inWindow).isLessThanOrEqualTo(6 * limit + 5);
    }
  }
}
