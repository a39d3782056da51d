package dev.cactusstack.decisions.registrations;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
  private final SuspensionDetector detector = new SuspensionDetector(1_000, 500_000);

  @Test
  void shouldReturnTheTimeThatTheMonotonicClockDidNotCountOnce() {
    assertThat(detector.suspendedMs(1_100, 504_100)).isEqualTo(4_000);
    assertThat(detector.suspendedMs(1_200, 504_200)).isZero();
  }

  @Test
  void shouldReturnNothingWhenTheClocksDifferLittleOrTheTimeOfDayStepsBack() {
    assertThat(detector.suspendedMs(1_100, 500_250)).isZero();
    assertThat(detector.suspendedMs(1_200, 490_000)).isZero();
    assertThat(detector.suspendedMs(1_300, 490_100)).isZero();
  }
}
