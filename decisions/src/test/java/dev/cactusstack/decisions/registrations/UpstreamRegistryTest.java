package dev.cactusstack.decisions.registrations;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.UpstreamRegistration;
import org.junit.jupiter.api.Test;

class UpstreamRegistryTest {
  private static final long NO_OUTAGE = Long.MIN_VALUE;
  private static final long FIRST_START = 1_000;
  private static final long SECOND_START = 2_000;

  private final UpstreamRegistry registry = new UpstreamRegistry();

  private static UpstreamRegistration announcement(long number, boolean leaving, long startedAtMs) {
    return new UpstreamRegistration(
        "a", "s", new Address("127.0.0.1", 80), "dc", 4, leaving, 0, startedAtMs, number);
  }

  private void announce(long number, boolean leaving, long startedAtMs, long nowMs) {
    registry.announce(announcement(number, leaving, startedAtMs), nowMs);
  }

  private boolean isUsable(long nowMs) {
    return !registry.usable("s", nowMs).isEmpty();
  }

  @Test
  void shouldNotUseALeavingUpstreamWhenAnOldAnnouncementArrivesLate() {
    announce(5, true, FIRST_START, 10);
    announce(4, false, FIRST_START, 20);
    assertThat(isUsable(20)).isFalse();
  }

  @Test
  void shouldNotUseAnUpstreamThatHasLeftWhenAnOldAnnouncementArrivesLate() {
    announce(5, false, FIRST_START, 10);
    registry.remove("a", NO_OUTAGE, 20);
    announce(5, false, FIRST_START, 30);
    assertThat(isUsable(30)).isFalse();
    announce(4, false, FIRST_START, 40);
    assertThat(isUsable(40)).isFalse();
  }

  @Test
  void shouldUseAnUpstreamAgainWhenItRenewsItsRegistration() {
    announce(5, false, FIRST_START, 10);
    registry.remove("a", NO_OUTAGE, 20);
    announce(6, false, FIRST_START, 30);
    assertThat(isUsable(30)).isTrue();
  }

  @Test
  void shouldUseAnUpstreamAgainWhenItRestartsUnderTheSameId() {
    announce(50, true, FIRST_START, 10);
    registry.remove("a", NO_OUTAGE, 20);
    announce(1, false, SECOND_START, 30);
    assertThat(isUsable(30)).isTrue();
    announce(51, true, FIRST_START, 40);
    assertThat(isUsable(40)).isTrue();
  }

  @Test
  void shouldKeepAnUpstreamUntilTheRenewalEndsWhenItsRegistrationLapsed() {
    announce(5, false, FIRST_START, 10);
    assertThat(registry.remove("a", 1_000, 20)).contains(RegistrationState.LAPSED);
    assertThat(isUsable(999)).isTrue();
    assertThat(isUsable(1_000)).isFalse();
  }

  @Test
  void shouldNotKeepAnUpstreamThatAnnouncedThatItLeavesWhenItsRegistrationLapsed() {
    announce(5, true, FIRST_START, 10);
    assertThat(registry.remove("a", 1_000, 20)).contains(RegistrationState.GONE);
    assertThat(isUsable(20)).isFalse();
  }

  @Test
  void shouldForgetAnUpstreamWhenItsRegistrationEndedLongAgo() {
    announce(5, false, FIRST_START, 10);
    registry.remove("a", NO_OUTAGE, 20);
    registry.forgetEnded(100_000);
    announce(5, false, FIRST_START, 100_000);
    assertThat(isUsable(100_000)).isTrue();
  }
}
