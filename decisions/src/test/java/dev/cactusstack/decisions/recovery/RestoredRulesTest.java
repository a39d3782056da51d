package dev.cactusstack.decisions.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RestoredRulesTest {
  private final RestoredRules rules = new RestoredRules();

  @Test
  void shouldTakeOnlyAHigherVersionWithinAnEra() {
    assertThat(rules.replaces(1, 1, 8, 7, 0)).isTrue();
    assertThat(rules.replaces(1, 1, 7, 7, 0)).isFalse();
    assertThat(rules.replaces(1, 1, 6, 7, 0)).isFalse();
    assertThat(rules.replaces(1, 1, 6, 7, 60_000)).isFalse();
  }

  /** Guards against an older configuration in force while operators write theirs again. */
  @Test
  void shouldKeepTheConfigurationWhenARestoredStoreHasAnOlderOne() {
    assertThat(rules.replaces(2, 1, 6, 7, 0)).isFalse();
    assertThat(rules.remainingMs(1_000)).isEqualTo(9_000);
    assertThat(rules.replaces(2, 1, 6, 7, 9_990)).isFalse();
    assertThat(rules.replaces(2, 1, 6, 7, 10_000)).isTrue();
  }

  @Test
  void shouldStartOverWhenTheStoreServesAnotherOlderVersion() {
    rules.replaces(2, 1, 5, 7, 0);
    assertThat(rules.replaces(2, 1, 6, 7, 9_000)).isFalse();
    assertThat(rules.replaces(2, 1, 6, 7, 18_990)).isFalse();
    assertThat(rules.replaces(2, 1, 6, 7, 19_000)).isTrue();
  }

  /** The operators' version may have been given out again, for another configuration. */
  @Test
  void shouldTakeTheSameVersionWhenItWasReadAfterTheRestore() {
    assertThat(rules.replaces(2, 1, 7, 7, 0)).isTrue();
  }

  /** Guards against a host that has not settled and takes others back. */
  @Test
  void shouldNotTakeRulesOfAnEarlierEra() {
    assertThat(rules.replaces(1, 2, 9, 7, 0)).isFalse();
  }

  /** Guards against a second restore that leaves operators less time than the first. */
  @Test
  void shouldStartOverWhenTheStoreIsRestoredAgain() {
    assertThat(rules.replaces(2, 1, 6, 7, 0)).isFalse();
    assertThat(rules.replaces(3, 1, 6, 7, 9_000)).isFalse();
    assertThat(rules.replaces(3, 1, 6, 7, 18_990)).isFalse();
    assertThat(rules.replaces(3, 1, 6, 7, 19_000)).isTrue();
  }
}
