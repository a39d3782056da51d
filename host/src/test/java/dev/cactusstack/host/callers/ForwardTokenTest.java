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
  private static final KeyRing RING =
      new KeyRing(List.of(new LinkKey(1, "0123456789abcdef".getBytes())));

  private static ForwardToken at(long ms) {
    return new ForwardToken(new HostId("a-1"), RING, InstantSource.fixed(Instant.ofEpochMilli(ms)));
  }

  @Test
  void shouldBeAcceptedByAnotherHostWithinItsMinutes() {
    String token = at(600_000).issue();
    assertThat(at(610_000).verify(token)).isTrue();
    assertThat(at(660_000).verify(token)).isTrue();
    assertThat(at(900_000).verify(token)).isFalse();
  }

  @Test
  void shouldBeRefusedWhenForgedOrMalformed() {
    String token = at(600_000).issue();
    for (String bad :
        List.of("", "x", "a-1 10 1 zz", "a b c d", token.replace("a-1", "a-2"), token + "00")) {
      assertThat(at(600_000).verify(bad)).isFalse();
    }
  }
}
