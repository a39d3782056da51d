package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.placing.UpstreamNotices.Permission;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.UpstreamRegistration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UpstreamNoticesTest {
  private static final UpstreamNotice LEAVING = new UpstreamNotice(true, 0);
  private static final Address ADDRESS = new Address("127.0.0.1", 80);

  private final UpstreamNotices notices = new UpstreamNotices();

  private static UpstreamRegistration upstream(String id, long startedAtMs, boolean leaving) {
    return new UpstreamRegistration(id, "s", ADDRESS, "dc", 4, leaving, 0, startedAtMs, 1);
  }

  private static UpstreamNotice holdOff(long ms) {
    return new UpstreamNotice(false, ms);
  }

  private Permission permission(String id, long startedAtMs, long nowMs) {
    return notices.permission(upstream(id, startedAtMs, false), nowMs);
  }

  @Test
  void shouldAllowAnUpstreamThatSaysNothing() {
    assertThat(notices.record(upstream("a", 1, false), UpstreamNotice.NONE, 0)).isFalse();
    assertThat(permission("a", 1, 0)).isEqualTo(Permission.ALLOWED);
  }

  /** Whatever the registration says, before and after: only a restart ends it. */
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void shouldNotAllowAnUpstreamThatLeavesWhateverItsRegistrationSays(
      boolean registeredAsLeavingBefore, boolean registeredAsLeavingAfter) {
    notices.record(upstream("a", 1, registeredAsLeavingBefore), LEAVING, 0);
    notices.record(upstream("a", 1, registeredAsLeavingAfter), UpstreamNotice.NONE, 10);
    assertThat(notices.permission(upstream("a", 1, registeredAsLeavingAfter), 60_000))
        .isEqualTo(Permission.LEAVING);
  }

  @Test
  void shouldAllowAnotherUpstreamAtTheAddressOfOneThatLeft() {
    notices.record(upstream("a", 1, false), LEAVING, 0);
    assertThat(permission("b", 1, 10)).isEqualTo(Permission.ALLOWED);
  }

  @Test
  void shouldAllowAnUpstreamThatHasRestartedUnderItsId() {
    notices.record(upstream("a", 1, false), LEAVING, 0);
    notices.record(upstream("a", 1, false), holdOff(20_000), 0);
    assertThat(permission("a", 2, 10)).isEqualTo(Permission.ALLOWED);
    assertThat(permission("a", 1, 10)).isEqualTo(Permission.LEAVING);
  }

  @Test
  void shouldHoldOffUntilTheTimeEnds() {
    assertThat(notices.record(upstream("a", 1, false), holdOff(300), 1_000)).isTrue();
    assertThat(permission("a", 1, 1_299)).isEqualTo(Permission.HELD_OFF);
    assertThat(notices.current(upstream("a", 1, false), 1_100).holdOffMs()).isEqualTo(200);
    assertThat(permission("a", 1, 1_300)).isEqualTo(Permission.ALLOWED);
  }

  /** A response to an earlier request, or one that asks for less, arrives later. */
  @Test
  void shouldLengthenButNotShortenAHoldOff() {
    notices.record(upstream("a", 1, false), holdOff(5_000), 0);
    notices.record(upstream("a", 1, false), holdOff(100), 50);
    notices.record(upstream("a", 1, false), UpstreamNotice.NONE, 60);
    assertThat(permission("a", 1, 4_999)).isEqualTo(Permission.HELD_OFF);
    notices.record(upstream("a", 1, false), holdOff(5_000), 4_000);
    assertThat(permission("a", 1, 8_999)).isEqualTo(Permission.HELD_OFF);
  }

  @Test
  void shouldForgetWhatWasSaidLongAgo() {
    notices.record(upstream("a", 1, false), LEAVING, 0);
    notices.record(upstream("b", 1, false), LEAVING, 7_200_000);
    assertThat(permission("a", 1, 7_200_000)).isEqualTo(Permission.ALLOWED);
    assertThat(notices.leavingCount()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, true",
    "0.3, 300, true",
    "0.0001, 1, true",
    "20, 20000, true",
    "-1, 0, false",
    "-0.0, 0, true",
    "1e12, 600000, false",
    "Infinity, 600000, false",
    "-Infinity, 0, false",
    "NaN, 0, false"
  })
  void shouldBoundTheTimeOfAHoldOff(double seconds, long expectedMs, boolean valid) {
    assertThat(UpstreamNotice.toHoldOffMs(seconds)).isEqualTo(expectedMs);
    assertThat(UpstreamNotice.isValidHoldOff(seconds)).isEqualTo(valid);
  }
}
