package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class AttemptStateTest {

  @Property(tries = 2_000, seed = "5")
  void shouldReportNotRunOnlyWhenNothingWasSentOrTheUpstreamRefused(
      @ForAll @Size(max = 8) List<AttemptEvent> events,
      @ForAll boolean idempotent,
      @ForAll boolean replayable,
      @ForAll boolean left) {
    AttemptState s = AttemptState.NOT_SENT;
    for (AttemptEvent e : events) {
      s = s.after(e);
    }
    RetryDecision step =
        s.decideAfterFailure(new RetryConditions(idempotent, replayable, left, true));
    int sent = events.indexOf(AttemptEvent.SEND_STARTED);
    boolean refused =
        sent >= 0 && events.subList(sent, events.size()).contains(AttemptEvent.REFUSED);
    if (step == RetryDecision.REPORT_NOT_RUN) {
      assertThat(sent < 0 || refused).isTrue();
    }
    if (step == RetryDecision.RETRY && !idempotent) {
      assertThat(sent < 0 || refused).isTrue();
    }
  }

  @Property(tries = 200, seed = "6")
  void shouldLimitRetriesToTheirShareWhenEveryAttemptFails(
      @ForAll @Size(min = 1, max = 400) List<Boolean> calls) {
    var budget = new RetryBudget(0.1, 5);
    long retries = 0;
    for (int i = 0; i < calls.size(); i++) {
      budget.deposit();
      while (budget.tryWithdraw()) {
        retries++;
      }
    }
    assertThat(retries).isLessThanOrEqualTo(5 + calls.size() / 10 + 1);
  }
}
