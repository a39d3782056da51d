package dev.cactusstack.model;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressTest {

  @ParameterizedTest
  @ValueSource(strings = {"10.0.0.7:8080", "[::1]:1", "127.0.0.1:65535"})
  void shouldFormatToTheSameTextWhenParsed(String text) {
    assertThat(Address.parse(text).fold(Problem::toString, Address::toString)).isEqualTo(text);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "10.0.0.7", "host:80", "10.0.0.7:0", "10.0.0.7:65536", "10.0.0.7:x"})
  void shouldExplainTheFormatWhenTheTextIsNotAnAddress(String text) {
    assertThat(Address.parse(text).fold(Problem::remedy, Address::toString)).contains("IP:PORT");
  }
}
