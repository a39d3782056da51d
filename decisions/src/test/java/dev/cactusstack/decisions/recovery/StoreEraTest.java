package dev.cactusstack.decisions.recovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.cactusstack.decisions.recovery.StoreEra.Verdict;
import org.junit.jupiter.api.Test;

class StoreEraTest {
  private final StoreEra era = new StoreEra();

  /** Guards against a revision that is compared with a higher one of an earlier era. */
  @Test
  void shouldCompareByEraBeforeRevision() {
    assertThat(StoreRevision.of(3, 1)).isGreaterThan(StoreRevision.of(2, 900));
    assertThat(StoreRevision.of(2, 900)).isGreaterThan(StoreRevision.of(2, 899));
    assertThat(StoreRevision.of(0, 900)).isEqualTo(900);
    long pair = StoreRevision.of(7, 1L << 41);
    assertThat(StoreRevision.eraOf(pair)).isEqualTo(7);
    assertThat(StoreRevision.revisionOf(pair)).isEqualTo(1L << 41);
    assertThatThrownBy(() -> StoreRevision.of(1, 1L << 42))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against an answer of the era before that takes the host back. */
  @Test
  void shouldNotUseAnAnswerWhenItWasGivenBeforeAKnownRestore() {
    assertThat(era.record(4)).isEqualTo(Verdict.CURRENT);
    assertThat(era.record(5)).isEqualTo(Verdict.RESTORED);
    assertThat(era.record(4)).isEqualTo(Verdict.OUTDATED);
    assertThat(era.record(5)).isEqualTo(Verdict.CURRENT);
    assertThat(era.current()).isEqualTo(5);
  }

  @Test
  void shouldChangeNothingWhenNoEraIsTold() {
    assertThat(era.record(0)).isEqualTo(Verdict.CURRENT);
    assertThat(era.hasChangesSince(12)).isTrue();
    era.record(4);
    assertThat(era.record(0)).isEqualTo(Verdict.CURRENT);
    assertThat(era.current()).isEqualTo(4);
  }

  /** Guards against changes that are missed because the store assigned their revisions again. */
  @Test
  void shouldReadEverythingWhenTheKnownRevisionIsOfAnotherEra() {
    era.record(4);
    long known = StoreRevision.of(4, 12);
    assertThat(era.hasChangesSince(known)).isTrue();
    era.record(5);
    assertThat(era.hasChangesSince(known)).isFalse();
  }
}
