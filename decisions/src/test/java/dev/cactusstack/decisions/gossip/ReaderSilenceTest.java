package dev.cactusstack.decisions.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ReaderSilenceTest {
  private final ReaderSilence silence = new ReaderSilence();

  @Test
  void shouldWaitUntilTheYoungestHeartbeatIsTooOld() {
    assertThat(silence.untilReadMs(OptionalLong.of(0), 5_000))
        .isEqualTo(ReaderSilence.MAX_SILENCE_MS);
    assertThat(silence.untilReadMs(OptionalLong.of(ReaderSilence.MAX_SILENCE_MS - 1), 5_000))
        .isEqualTo(1);
    assertThat(silence.untilReadMs(OptionalLong.of(ReaderSilence.MAX_SILENCE_MS + 500), 5_000))
        .isZero();
  }

  @Test
  void shouldReadAtOnceWhenNoReaderIsKnown() {
    assertThat(silence.untilReadMs(OptionalLong.empty(), 5_000)).isZero();
  }

  @Test
  void shouldReadAtIntervalsWhenTheReadersRemainSilent() {
    silence.recordRead(5_000);
    assertThat(silence.untilReadMs(OptionalLong.empty(), 5_100))
        .isEqualTo(ReaderSilence.READ_INTERVAL_MS - 100);
    assertThat(silence.untilReadMs(OptionalLong.of(2_000), 5_000 + ReaderSilence.READ_INTERVAL_MS))
        .isZero();
  }
}
