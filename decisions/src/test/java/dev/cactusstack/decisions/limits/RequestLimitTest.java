package dev.cactusstack.decisions.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestLimitTest {
  private static RequestLimit limit(double rate, long sentAgeMs, long receivedAgeMs) {
    return new RequestLimit(rate, sentAgeMs, receivedAgeMs);
  }

  private static void assertHolds(RequestLimit expected, RequestLimit other) {
    assertThat(expected.latest(other)).isEqualTo(expected);
    assertThat(other.latest(expected)).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, true",
    "-0.0, 0, true",
    "0.3, 0.3, true",
    "1.1, 1.1, true",
    "50, 50, true",
    "1e6, 1e6, true",
    "1000001, Infinity, false",
    "1e300, Infinity, false",
    "Infinity, Infinity, false",
    "-1, 0, false",
    "-Infinity, 0, false"
  })
  void shouldBoundTheRate(double given, double expected, boolean valid) {
    assertThat(RequestLimit.toUsableRate(given)).hasValue(expected);
    assertThat(RequestLimit.isValidRate(given)).isEqualTo(valid);
  }

  @Test
  void shouldSayNothingWhenTheRateIsUnreadable() {
    assertThat(RequestLimit.toUsableRate(Double.NaN)).isEmpty();
    assertThat(RequestLimit.isValidRate(Double.NaN)).isFalse();
  }

  @Test
  void shouldBeLimitedWhenARateIsNamed() {
    assertThat(limit(0, 1, 0).isLimited()).isTrue();
    assertThat(limit(1e6, 1, 0).isLimited()).isTrue();
    assertThat(limit(RequestLimit.UNLIMITED, 1, 0).isLimited()).isFalse();
  }

  @Test
  void shouldRefuseImpossibleComponents() {
    assertThatThrownBy(() -> limit(-1, 1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> limit(Double.NaN, 1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> limit(1, 1, 2)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> limit(1, 1, -1)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void shouldIncreaseBothAges() {
    assertThat(limit(2, 100, 20).agedBy(5)).isEqualTo(limit(2, 105, 25));
  }

  @Test
  void shouldAllowForTheWayFromAnotherHost() {
    assertThat(limit(2, 100, 20).fromAnotherHost()).isEqualTo(limit(2, 200, 20));
  }

  @ParameterizedTest
  @CsvSource({"Infinity", "50", "0.5", "0"})
  void shouldReplaceALimitWhenAnotherFigureIsCertainlyLater(double later) {
    assertHolds(limit(later, 10, 0), limit(1, 500, 11));
  }

  @ParameterizedTest
  @CsvSource({"Infinity", "50", "0.5", "0"})
  void shouldIgnoreAnOlderFigureThatArrivesLate(double older) {
    assertHolds(limit(1, 90, 40), limit(older, 400, 91));
  }

  /** Both requests were under way at once: nobody knows which response was written first. */
  @ParameterizedTest
  @CsvSource({"100, 50, 60, 10", "60, 10, 100, 50", "100, 10, 60, 50", "50, 10, 60, 50"})
  void shouldKeepTheStricterFigureWhenTheOrderIsUnknown(
      long sentAgeMs, long receivedAgeMs, long otherSentAgeMs, long otherReceivedAgeMs) {
    RequestLimit strict = limit(1, sentAgeMs, receivedAgeMs);
    assertHolds(strict, limit(2, otherSentAgeMs, otherReceivedAgeMs));
    assertHolds(strict, limit(RequestLimit.UNLIMITED, otherSentAgeMs, otherReceivedAgeMs));
  }

  @Test
  void shouldKeepTheLaterRequestWhenBothSayTheSame() {
    assertHolds(limit(1, 60, 50), limit(1, 100, 10));
  }
}
