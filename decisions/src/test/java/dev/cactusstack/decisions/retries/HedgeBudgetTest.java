package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HedgeBudgetTest {
  private static final double EXPECTED_MS = 100;

  private static void serve(HedgeBudget budget, int requests, long nowMs) {
    for (int i = 0; i < requests; i++) {
      budget.recordRequest(nowMs);
      budget.recordFirstCopy(EXPECTED_MS, nowMs);
    }
  }

  private static int hedgesUntilRefused(HedgeBudget budget, long nowMs) {
    int hedges = 0;
    while (budget.tryAcquire(EXPECTED_MS, nowMs) == HedgeBudget.Decision.ALLOWED) {
      budget.recordHedgeEnd(EXPECTED_MS, EXPECTED_MS);
      hedges++;
    }
    return hedges;
  }

  @Test
  void shouldRefuseWhenTheShareOfRequestsIsUsedUp() {
    var budget = new HedgeBudget(0.05, 1);
    serve(budget, 100, 0);
    assertThat(hedgesUntilRefused(budget, 0)).isEqualTo(5);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.REQUEST_SHARE);
  }

  @Test
  void shouldRefuseWhenTheShareOfWorkIsUsedUp() {
    var budget = new HedgeBudget(1, 0.1);
    serve(budget, 100, 0);
    assertThat(hedgesUntilRefused(budget, 0)).isEqualTo(10);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.WORK_SHARE);
  }

  @Test
  void shouldRefuseEveryHedgeWhenAShareIsZero() {
    var budget = new HedgeBudget(0, 1);
    serve(budget, 1_000, 0);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.REQUEST_SHARE);
  }

  /** Guards against a burst of hedges after a quiet time in which they were not needed. */
  @Test
  void shouldAllowOnlyOneHedgeWhenTheBudgetWasEarnedLongAgo() {
    var budget = new HedgeBudget(0.05, 1);
    serve(budget, 1_000, 0);
    assertThat(hedgesUntilRefused(budget, 60_000)).isEqualTo(1);
  }

  /** Guards against hedges that take longer than expected and so exceed the share of work. */
  @Test
  void shouldPayForTheExcessFirstWhenAHedgeTookLongerThanExpected() {
    var budget = new HedgeBudget(1, 0.1);
    serve(budget, 20, 0);
    assertThat(budget.tryAcquire(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    budget.recordHedgeEnd(EXPECTED_MS, 10 * EXPECTED_MS);
    serve(budget, 80, 0);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.WORK_SHARE);
    serve(budget, 30, 0);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
  }

  @Test
  void shouldAllowAHedgeAgainWhenOneWasGivenBack() {
    var budget = new HedgeBudget(0.05, 1);
    serve(budget, 20, 0);
    assertThat(budget.tryAcquire(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.REQUEST_SHARE);
    budget.giveBack(EXPECTED_MS);
    assertThat(budget.check(EXPECTED_MS, 0)).isEqualTo(HedgeBudget.Decision.ALLOWED);
  }

  /** Guards against a check with a low estimate that takes away what a dearer hedge needs. */
  @Test
  void shouldKeepWhatWasEarnedWhenACheckNamesACheaperHedge() {
    var budget = new HedgeBudget(1, 0.1);
    serve(budget, 20, 0);
    assertThat(budget.check(EXPECTED_MS / 2, 60_000)).isEqualTo(HedgeBudget.Decision.ALLOWED);
    assertThat(budget.tryAcquire(EXPECTED_MS, 60_000)).isEqualTo(HedgeBudget.Decision.ALLOWED);
  }

  /** Guards against hosts of a large site that never earn a whole hedge, and against their sum. */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldKeepTheLimitOverAllHostsAndUseMostOfItWhenEachHostHasFewRequests(int hosts) {
    HedgeBudget[] budgets = new HedgeBudget[hosts];
    for (int h = 0; h < hosts; h++) {
      budgets[h] = new HedgeBudget(0.05, 0.05);
    }
    int requests = 0;
    int hedges = 0;
    for (long now = 0; now < 120_000; now += 4) {
      HedgeBudget budget = budgets[requests++ % hosts];
      serve(budget, 1, now);
      if (budget.tryAcquire(EXPECTED_MS, now) == HedgeBudget.Decision.ALLOWED) {
        budget.recordHedgeEnd(EXPECTED_MS, EXPECTED_MS);
        hedges++;
      }
    }
    assertThat(hedges).isBetween((int) (requests * 0.045), (int) (requests * 0.05));
  }

  @Test
  void shouldRejectAShareOutsideOfZeroToOne() {
    assertThatThrownBy(() -> new HedgeBudget(1.1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new HedgeBudget(0, -0.1)).isInstanceOf(IllegalArgumentException.class);
  }
}
