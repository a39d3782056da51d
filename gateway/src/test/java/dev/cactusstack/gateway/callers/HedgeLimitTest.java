package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.decisions.retries.HedgeDelay;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HedgeLimitTest {
  /**
   * Guards against refused hedges on upstreams that report no load: there the scheduler keeps its
   * first estimate, here 780 ms, which is more than all first copies together earned.
   */
  @Test
  void shouldAllowAHedgeWhenResponsesAreMuchFasterThanTheSchedulerExpects() {
    var limit = new HedgeLimit(Optional.of(new HedgeBudget(0.1, 1)));
    for (int i = 0; i < 30; i++) {
      limit.recordRequest(0);
      limit.recordEnd(false, 780, 20, 0);
    }
    assertThat(limit.tryAcquire(limit.countedMs(780), 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    assertThat(limit.tryAcquire(780, 0)).isEqualTo(HedgeBudget.Decision.WORK_SHARE);
  }

  /** Guards against hosts without the setting whose hedges change with what they have seen. */
  @Test
  void shouldTimeAndAllowHedgesByTheRouteAloneWhenThereIsNoLimit() {
    var limit = new HedgeLimit(Optional.empty());
    for (int i = 0; i < 30; i++) {
      limit.recordEnd(false, 780, 20, 0);
    }
    assertThat(limit.delayMs(780, 90, 400)).isEqualTo(HedgeDelay.delayMs(90, 400));
    assertThat(limit.check(780, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    assertThat(limit.tryAcquire(780, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    assertThat(limit.cancelsOtherCopies()).isFalse();
  }
}
