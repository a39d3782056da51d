package dev.cactusstack.decisions.registrations;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreOutageDetectorTest {
  private static final long RENEWAL_MS = 2_000;
  private static final long READ_INTERVAL_MS = 700;

  private final StoreOutageDetector detector = new StoreOutageDetector(RENEWAL_MS);
  private long revision = 1_000;
  private long nowMs = 50_000;

  private void readRegularly(int reads, long revisionsPerRead) {
    for (int i = 0; i < reads; i++) {
      nowMs += READ_INTERVAL_MS;
      revision += revisionsPerRead;
      detector.recordRead(revision, nowMs);
    }
  }

  private void readAfterFailures(long elapsedMs, long revisions) {
    detector.recordFailure();
    nowMs += elapsedMs;
    revision += revisions;
    detector.recordRead(revision, nowMs);
  }

  @Test
  void shouldExpectRenewalsWhenTheRevisionHardlyAdvanced() {
    readRegularly(5, 20);
    readAfterFailures(7_000, 15);
    assertThat(detector.renewedAtMs()).isEqualTo(nowMs + RENEWAL_MS);
  }

  @Test
  void shouldExpectNoRenewalsWhenTheRevisionAdvancedAsUsual() {
    readRegularly(5, 20);
    readAfterFailures(7_000, 190);
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  @Test
  void shouldExpectNoRenewalsWhenNoReadFailed() {
    readRegularly(5, 20);
    nowMs += 60_000;
    detector.recordRead(revision + 1, nowMs);
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }

  @Test
  void shouldExpectNoRenewalsWhenNothingIsKnownOfTheUsualRate() {
    readRegularly(1, 20);
    readAfterFailures(7_000, 0);
    assertThat(detector.renewedAtMs()).isLessThan(nowMs);
  }
}
