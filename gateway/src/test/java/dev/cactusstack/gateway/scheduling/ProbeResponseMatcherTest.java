package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.net.CarriedRequests;
import dev.cactusstack.gateway.net.ResponseMatcher;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.FakeUpstreamHeaders;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProbeResponseMatcherTest {
  private final ProbeResponseMatcher matcher =
      new ProbeResponseMatcher("u1", FakeUpstreamHeaders.create());

  @ParameterizedTest
  @CsvSource({
    "200, instance, u1, CURRENT",
    "503, instance, u1, CURRENT",
    "200, instance, u2, UNKNOWN",
    "503, not-executed, 1, UNKNOWN",
    "200, id, r1, ANOTHER",
    "200, id, r2, UNKNOWN",
    "500, id, '', UNKNOWN",
  })
  void shouldAttributeAResponseByWhatItBears(
      int status, String field, String value, ResponseOwner owner) {
    var headers = new DefaultHttpHeaders().set(field, value);
    assertThat(matcher.ownerOf(status, headers, carried())).isEqualTo(owner);
  }

  @Test
  void shouldSkipNoResponseWithSeveralIds() {
    var headers =
        new DefaultHttpHeaders()
            .add(FakeUpstreamHeaders.REQUEST_ID, "r1")
            .add(FakeUpstreamHeaders.REQUEST_ID, "r2");
    assertThat(matcher.ownerOf(500, headers, carried())).isEqualTo(ResponseOwner.UNKNOWN);
  }

  /** Returns the requests of a connection that has carried the request r1 before the probe. */
  private CarriedRequests carried() {
    var carried = new CarriedRequests();
    carried.add(new OtherRequest("r1"));
    carried.add(matcher);
    return carried;
  }

  private record OtherRequest(String id) implements ResponseMatcher {
    @Override
    public ResponseOwner ownerOf(int status, HttpHeaders headers, CarriedRequests carried) {
      return ResponseOwner.UNKNOWN;
    }

    @Override
    public Optional<String> requestId() {
      return Optional.of(id);
    }
  }
}
