package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.UpstreamNotices.Permission;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
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

  private static UpstreamNotice limit(double requestsPerSecond, long sentAgeMs) {
    return new UpstreamNotice(
        false, 0, Optional.of(new RequestLimit(requestsPerSecond, sentAgeMs, 0)));
  }

  private static PlacementDecision.Placed placed(long startedAtMs, @Nullable RequestLimit limit) {
    return new PlacementDecision.Placed(
        new PlacementKey(1, 1), upstream("a", startedAtMs, false), Optional.ofNullable(limit));
  }

  private boolean recordLimit(double requestsPerSecond, long sentAgeMs, long nowMs) {
    return notices.record(upstream("a", 1, false), limit(requestsPerSecond, sentAgeMs), nowMs);
  }

  private Permission permission(PlacementDecision.Placed placed, long nowMs) {
    return notices.permission(placed, nowMs);
  }

  @Test
  void shouldSendOnlyCountedRequestsWhenALimitIsKnown() {
    assertThat(recordLimit(1.5, 10, 0)).isTrue();
    assertThat(permission("a", 1, 5)).isEqualTo(Permission.LIMITED);
    assertThat(permission(placed(1, null), 5)).isEqualTo(Permission.LIMITED);
    assertThat(permission(placed(1, new RequestLimit(1.5, 20, 10)), 5))
        .isEqualTo(Permission.ALLOWED);
    assertThat(notices.limitCount()).isEqualTo(1);
  }

  /** The scheduler may know another figure; what counts is that it counted. */
  @Test
  void shouldSendACountedRequestWhenTheSchedulerKnowsAnotherLimit() {
    recordLimit(1, 10, 1_000);
    assertThat(permission(placed(1, new RequestLimit(5, 500, 400)), 1_000))
        .isEqualTo(Permission.ALLOWED);
    assertThat(notices.current(upstream("a", 1, false), 1_000).limit())
        .contains(new RequestLimit(1, 10, 0));
  }

  @Test
  void shouldLearnALimitFromAPlacement() {
    assertThat(permission(placed(1, new RequestLimit(2, 60, 30)), 1_000))
        .isEqualTo(Permission.ALLOWED);
    assertThat(permission(placed(1, null), 1_000)).isEqualTo(Permission.LIMITED);
    assertThat(notices.current(upstream("a", 1, false), 1_007).limit())
        .contains(new RequestLimit(2, 167, 37));
  }

  @Test
  void shouldSendUncountedRequestsAgainWhenTheSchedulerKnowsThatTheLimitWasWithdrawn() {
    recordLimit(1, 10, 0);
    var withdrawn = new RequestLimit(RequestLimit.UNLIMITED, 20, 10);
    assertThat(permission(placed(1, withdrawn), 50)).isEqualTo(Permission.LIMITED);
    assertThat(permission(placed(1, withdrawn), 1_000)).isEqualTo(Permission.ALLOWED);
    assertThat(permission("a", 1, 1_000)).isEqualTo(Permission.ALLOWED);
  }

  @ParameterizedTest
  @CsvSource({
    "2, true, LIMITED",
    "0, true, LIMITED",
    "1, false, LIMITED",
    "Infinity, true, ALLOWED"
  })
  void shouldReplaceALimitWhenALaterResponseSaysOtherwise(
      double later, boolean changed, Permission expected) {
    recordLimit(1, 10, 0);
    assertThat(recordLimit(later, 100, 500)).isEqualTo(changed);
    assertThat(permission("a", 1, 500)).isEqualTo(expected);
    assertThat(notices.limitCount()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"Infinity", "50"})
  void shouldKeepALimitWhenAnOlderResponseArrivesLate(double older) {
    recordLimit(1, 10, 1_000);
    assertThat(recordLimit(older, 500, 1_300)).isFalse();
    assertThat(notices.limits("s", 1_300))
        .containsExactly(new UpstreamLimit("a", 1, new RequestLimit(1, 310, 300)));
  }

  @Test
  void shouldTellOfAWithdrawnLimitWhenItWasKnown() {
    recordLimit(1, 10, 0);
    recordLimit(RequestLimit.UNLIMITED, 10, 100);
    assertThat(notices.current(upstream("a", 1, false), 130).limit())
        .contains(new RequestLimit(RequestLimit.UNLIMITED, 40, 30));
    assertThat(notices.limits("s", 130)).isEmpty();
    recordLimit(3, 10, 200);
    assertThat(notices.limitCount()).isEqualTo(2);
  }

  @Test
  void shouldRememberNothingWhenAnUpstreamNeverNamedALimit() {
    assertThat(recordLimit(RequestLimit.UNLIMITED, 10, 0)).isFalse();
    notices.record(upstream("a", 1, false), holdOff(300), 10);
    recordLimit(RequestLimit.UNLIMITED, 10, 20);
    assertThat(notices.current(upstream("a", 1, false), 30))
        .isEqualTo(new UpstreamNotice(false, 280));
  }

  @Test
  void shouldKnowNoLimitOfAnUpstreamThatHasRestarted() {
    recordLimit(1, 10, 0);
    assertThat(permission("a", 2, 10)).isEqualTo(Permission.ALLOWED);
    assertThat(permission(placed(2, null), 10)).isEqualTo(Permission.ALLOWED);
    assertThat(permission("b", 1, 10)).isEqualTo(Permission.ALLOWED);
  }

  @Test
  void shouldPreferToSayThatAnUpstreamLeavesOrHoldsOff() {
    recordLimit(1, 10, 0);
    notices.record(upstream("a", 1, false), holdOff(300), 0);
    PlacementDecision.Placed counted = placed(1, new RequestLimit(1, 10, 0));
    assertThat(permission(counted, 0)).isEqualTo(Permission.HELD_OFF);
    notices.record(upstream("a", 1, false), LEAVING, 0);
    assertThat(permission(counted, 0)).isEqualTo(Permission.LEAVING);
  }

  @Test
  void shouldTellNoMoreLimitsThanFitOneMessage() {
    for (int i = 0; i < 2 * UpstreamNotices.MAX_LIMITS; i++) {
      notices.record(upstream("u" + i, 1, false), limit(1, 10), 0);
    }
    assertThat(notices.limits("s", 0)).hasSize(UpstreamNotices.MAX_LIMITS);
    assertThat(notices.limits("other", 0)).isEmpty();
  }
}
