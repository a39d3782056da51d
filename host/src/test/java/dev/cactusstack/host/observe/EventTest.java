package dev.cactusstack.host.observe;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventTest {

  @Test
  void shouldQuoteValueOnlyWhenNeeded() {
    String line =
        Event.named("x").with("a", "plain").with("b", "two words").with("c", "q\"\\\n").toString();
    assertThat(line).isEqualTo("event=x a=plain b=\"two words\" c=\"q\\\"\\\\\\n\"");
  }
}
