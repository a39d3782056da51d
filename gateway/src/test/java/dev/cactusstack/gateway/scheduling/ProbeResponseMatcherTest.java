package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.FakeUpstreamHeaders;
import io.netty.handler.codec.http.DefaultHttpHeaders;
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
  })
  void shouldAttributeAResponseByWhatItBears(
      int status, String field, String value, ResponseOwner owner) {
    var headers = new DefaultHttpHeaders().set(field, value);
    assertThat(matcher.ownerOf(status, headers, false)).isEqualTo(owner);
  }
}
