package dev.cactusstack.decisions.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TokenBucketTest {

  @Property(tries = 300, seed = "11")
  void shouldNeverAllowMoreThanBurstAndRate(
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 3_000) Integer> gaps) {
    var limit = new TokenBucket(100, 500, 0);
    long now = 0;
    double spent = 0;
    for (int gap : gaps) {
      now += gap;
      while (limit.tryAcquire(90, now)) {
        spent += 90;
      }
      assertThat(spent).isLessThanOrEqualTo(500 + 0.1 * now + 1e-6);
    }
  }
}
