package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryWindowTest {
  @Test
  void shouldStayWithinTheLimitInEveryWindowWhenEveryRequestIsRetried() {
    var window = new RetryWindow(10_000, 0.2);
    List<Long> requests = new ArrayList<>();
    List<Long> repeats = new ArrayList<>();
    for (long now = 0; now < 60_000; now += 37) {
      // A pause in the middle lets old requests leave the window before their retries.
      if (now < 20_000 || now > 33_000) {
        window.recordRequest(now);
        requests.add(now);
      }
      if (window.tryAcquireRetry(3, now)) {
        repeats.add(now);
      }
    }
    for (long start = 0; start < 50_000; start += 250) {
      long from = start;
      long n = requests.stream().filter(t -> t >= from - 10_000 && t < from + 10_000).count();
      long r = repeats.stream().filter(t -> t >= from && t < from + 10_000).count();
      assertThat(r).isLessThanOrEqualTo(Math.round(0.2 * n) + 6);
    }
    assertThat(repeats).hasSizeGreaterThan(200);
  }

  @Test
  void shouldAllowOnlyTheExtraRetriesWhenThereAreNoRequests() {
    var window = new RetryWindow(10_000, 0.2);
    assertThat(window.tryAcquireRetry(2, 5)).isTrue();
    assertThat(window.tryAcquireRetry(2, 6)).isTrue();
    assertThat(window.tryAcquireRetry(2, 7)).isFalse();
    assertThat(window.tryAcquireRetry(2, 10_600)).isTrue();
  }
}
