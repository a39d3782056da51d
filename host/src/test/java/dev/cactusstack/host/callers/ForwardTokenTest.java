package dev.cactusstack.host.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.link.KeyRing;
import dev.cactusstack.link.LinkKey;
import dev.cactusstack.model.HostId;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.Test;

class ForwardTokenTest {
  private static final KeyRing KEY_RING =
      new KeyRing(List.of(new LinkKey(1, "0123456789abcdef".getBytes())));

  private static ForwardToken tokenAt(long ms) {
    return new ForwardToken(
        new HostId("a-1"), KEY_RING, InstantSource.fixed(Instant.ofEpochMilli(ms)));
  }

  @Test
  void shouldAcceptTokenWhenIssuedByAnotherHostWithinOneMinute() {
    String token = tokenAt(600_000).issue();
    assertThat(tokenAt(610_000).verify(token)).isTrue();
    assertThat(tokenAt(660_000).verify(token)).isTrue();
    assertThat(tokenAt(900_000).verify(token)).isFalse();
  }

  @Test
  void shouldRejectTokenWhenForgedOrMalformed() {
    String token = tokenAt(600_000).issue();
    for (String invalidToken :
        List.of("", "x", "a-1 10 1 zz", "a b c d", token.replace("a-1", "a-2"), token + "00")) {
      assertThat(tokenAt(600_000).verify(invalidToken)).isFalse();
    }
  }
}
