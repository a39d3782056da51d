package dev.cactusstack.decisions.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TokenBucketTest {

  @Property(tries = 300, seed = "11")
  void shouldStayWithinBurstAndRateWhenRequestsArriveAtAnyTime(
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 3_000) Integer> gapsMs) {
    var bucket = new TokenBucket(100, 500, 0);
    long nowMs = 0;
    double acquired = 0;
    for (int gapMs : gapsMs) {
      nowMs += gapMs;
      while (bucket.tryAcquire(90, nowMs)) {
        acquired += 90;
      }
      assertThat(acquired).isLessThanOrEqualTo(500 + 0.1 * nowMs + 1e-6);
    }
  }

  @Example
  void shouldGainNothingWhenTheRateChanges() {
    TokenBucket bucket = TokenBucket.empty(0);
    bucket.setRate(1, 2, 1_000);
    assertThat(bucket.available(1_000)).isZero();
    bucket.setRate(10, 2, 1_500);
    assertThat(bucket.available(1_600)).isEqualTo(1.5);
    bucket.setRate(0, 1, 1_600);
    assertThat(bucket.available(60_000)).isEqualTo(1);
  }

  @Example
  void shouldPutBackNoMoreThanTheBurst() {
    var bucket = new TokenBucket(1, 2, 0);
    assertThat(bucket.tryAcquire(1, 0)).isTrue();
    bucket.putBack(5, 0);
    assertThat(bucket.available(0)).isEqualTo(2);
  }
}
