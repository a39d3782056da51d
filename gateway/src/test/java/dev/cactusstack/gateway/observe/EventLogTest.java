package dev.cactusstack.gateway.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventLogTest {
  private static final int FLOOD_LINES = 50_000;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(out);

  @Test
  void shouldDropAndCountLinesWhenTheRingIsFull() {
    for (int i = 0; i < FLOOD_LINES; i++) {
      log.event("flood").with("n", i).write();
    }
    log.flush();
    long written =
        out.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains("flood")).count();
    assertThat(written).isBetween(1_000L, 4_000L);
    assertThat(log.droppedSinceFlush()).isEqualTo(FLOOD_LINES - written);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("event=log_dropped lines=" + log.droppedSinceFlush());
  }

  @Test
  void shouldQuoteAValueWhenItContainsSpecialCharacters() {
    log.event("e").with("k", "a b\"\n=").write();
    log.flush();
    assertThat(out.toString(StandardCharsets.UTF_8)).endsWith(" event=e k=\"a b\\\" =\"\n");
  }
}
