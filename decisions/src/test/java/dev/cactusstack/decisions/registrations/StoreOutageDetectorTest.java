package dev.cactusstack.decisions.registrations;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreOutageDetectorTest {
  private static final long RENEWAL_MS = 2_000;
  private static final long POLL_INTERVAL_MS = 700;
  private static final long CALL_TIMEOUT_MS = 1_000;

  /** Time without contact after which a host that was cut off counts as in touch again. */
  private static final long CONTACT_MS = 3_000;

  private final StoreOutageDetector detector = new StoreOutageDetector(RENEWAL_MS);
  private long nowMs = 50_000;

  @BeforeEach
  void readOnce() {
    read();
  }

  private void read() {
    detector.recordRead(nowMs, nowMs);
  }

  /** Calls that are rejected at once, at the interval of the polls. */
  private void failQuickly(int calls, boolean othersRead) {
    for (int i = 0; i < calls; i++) {
      nowMs += POLL_INTERVAL_MS;
      detector.recordFailure(nowMs, othersRead);
    }
    nowMs += POLL_INTERVAL_MS;
  }

  @Test
  void shouldExpectRenewalsWhenCallsFailedForLong() {
    failQuickly(8, false);
    read();
    assertThat(detector.renewedAtMs()).isBetween(nowMs + 1_500, nowMs + RENEWAL_MS);
    assertThat(detector.outageBeganAtMs()).isEqualTo(50_000);
  }

  /** Guards against a silent connection that is taken for an outage, however long ago the read. */
  @Test
  void shouldExpectNoRenewalsWhenOneCallGotNoResponse() {
    nowMs += 60_000;
    detector.recordFailure(nowMs, false);
    nowMs += CALL_TIMEOUT_MS;
    read();
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  /** A host that seldom reads learns nothing about the time between its failures. */
  @Test
  void shouldExpectNoRenewalsWhenTheFailuresWereFarApart() {
    detector.recordFailure(nowMs, false);
    nowMs += 20_000;
    detector.recordFailure(nowMs, false);
    nowMs += CALL_TIMEOUT_MS;
    read();
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  @Test
  void shouldExpectNoRenewalsWhenTwoConnectionsWereSilent() {
    detector.recordFailure(nowMs, false);
    nowMs += CALL_TIMEOUT_MS;
    detector.recordFailure(nowMs, false);
    nowMs += CALL_TIMEOUT_MS;
    read();
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  @Test
  void shouldExpectNoRenewalsWhenOtherHostsReadTheStoreMeanwhile() {
    failQuickly(8, true);
    read();
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  /** The last reports of other hosts from before an outage still arrive during it. */
  @Test
  void shouldExpectRenewalsWhenOtherHostsReadTheStoreOnlyBeforeTheOutage() {
    failQuickly(3, true);
    failQuickly(4, false);
    read();
    assertThat(detector.renewedAtMs()).isGreaterThan(nowMs);
  }

  /** Guards against a data centre that was cut off from the store and hears of no other host. */
  @Test
  void shouldNotUseMissingRegistrationsWhenInTouchAgainAfterACut() {
    for (long cutEndsMs = nowMs + 3_000; cutEndsMs < 60_000; cutEndsMs += 130) {
      while (nowMs < cutEndsMs) {
        detector.recordFailure(nowMs, false);
        nowMs += CALL_TIMEOUT_MS;
      }
      read();
      assertThat(detector.renewedAtMs()).isLessThan(cutEndsMs + CONTACT_MS);
      nowMs += 10_000;
    }
  }

  @Test
  void shouldExpectNoRenewalsWhenNoReadFailed() {
    nowMs += 60_000;
    read();
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }
}
