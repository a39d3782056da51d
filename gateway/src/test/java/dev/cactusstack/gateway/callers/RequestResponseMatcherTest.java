package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.net.CarriedRequests;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.FakeUpstreamHeaders;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestResponseMatcherTest {
  private final RequestResponseMatcher matcher =
      new RequestResponseMatcher("r1", "u1", FakeUpstreamHeaders.create());

  /** Returns the requests of a connection: r2 and r1, or only r1. */
  private CarriedRequests carried(boolean onlyRequest) {
    var carried = new CarriedRequests();
    if (!onlyRequest) {
      carried.add(new RequestResponseMatcher("r2", "u1", FakeUpstreamHeaders.create()));
    }
    carried.add(matcher);
    return carried;
  }

  @ParameterizedTest
  @CsvSource({
    "200, id, r1, false, CURRENT",
    "500, id, r1, true, CURRENT",
    "500, id, r2, true, UNKNOWN",
    "200, id, r2, false, ANOTHER",
    "500, id, r3, false, UNKNOWN",
    "200, id, r3, true, UNKNOWN",
    "500, id, '', false, UNKNOWN",
    "503, id, '', true, UNKNOWN",
    "500, id, 'r2, r1', false, UNKNOWN",
    "500, '', '', true, UNKNOWN",
    "500, '', '', false, UNKNOWN",
    "200, '', '', true, UNKNOWN",
    "503, not-executed, 1, true, CURRENT_BY_ELIMINATION",
    "503, not-executed, 1, false, UNKNOWN",
    "503, '', '', true, UNKNOWN",
    "200, instance, u1, false, ANOTHER",
    "200, instance, u2, false, UNKNOWN",
    "503, instance, u1, false, UNKNOWN",
  })
  void shouldAttributeAResponseByWhatItBears(
      int status, String field, String value, boolean onlyRequest, ResponseOwner owner) {
    var headers = new DefaultHttpHeaders();
    if (!field.isEmpty()) {
      headers.set(field, value);
    }
    assertThat(matcher.ownerOf(status, headers, carried(onlyRequest))).isEqualTo(owner);
  }

  @ParameterizedTest
  @CsvSource({
    "r1, r1, CURRENT",
    "r1, r2, UNKNOWN",
    "r2, r1, UNKNOWN",
    "r2, r2, UNKNOWN",
    "r2, r3, UNKNOWN",
  })
  void shouldSkipNoResponseWithSeveralIds(String first, String second, ResponseOwner owner) {
    var headers =
        new DefaultHttpHeaders()
            .add(FakeUpstreamHeaders.REQUEST_ID, first)
            .add(FakeUpstreamHeaders.REQUEST_ID, second);
    assertThat(matcher.ownerOf(500, headers, carried(false))).isEqualTo(owner);
  }

  /** Guards against a response without an id that is skipped because it looks like a probe's. */
  @ParameterizedTest
  @CsvSource({"500, false", "200, true", "200, false"})
  void shouldNotTakeASignedResponseForThatToAProbe(int status, boolean onlyRequest) {
    var headers =
        new DefaultHttpHeaders()
            .set(FakeUpstreamHeaders.INSTANCE_ID, "u1")
            .set(FakeUpstreamHeaders.SIGNED, "1");
    assertThat(matcher.ownerOf(status, headers, carried(onlyRequest)))
        .isEqualTo(ResponseOwner.UNKNOWN);
  }
}
