package dev.cactusstack.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostSettingsTest {
  private static final String SECRET = "00112233445566778899aabbccddeeff";
  private static final String VALID =
      """
      // One entry host.
      {
        "host": {"id": "a-1", "data_centre": "almaty-1"},
        "callers": {"address": "127.0.0.1:8080", /* small */ "max_header_bytes": 8192},
        "operators": {"address": "127.0.0.1:8081"},
        "link": {"address": "127.0.0.1:7946", "keys": [{"id": 1, "secret": "%s"}]},
        "platform": {"address": "127.0.0.1:9000"},
      }
      """
          .formatted(SECRET);

  private static List<SettingsError> errors(String text) {
    SettingsResult c = HostSettings.parse(text, Map.of());
    return c instanceof SettingsResult.Invalid i ? i.errors() : List.of();
  }

  @Test
  void shouldReadCommentsAndDefaultsWhenValid() {
    SettingsResult c = HostSettings.parse(VALID, Map.of());
    HostSettings s = ((SettingsResult.Valid) c).settings();
    assertThat(s.callers().maxHeaderBytes()).isEqualTo(8192);
    assertThat(s.requests().maxAttempts()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"max_header_bytes\": 8192 | \"max_header_bytes\": 1      | callers.max_header_bytes",
        "\"max_header_bytes\": 8192 | \"max_header_bytes\": \"8k\" | callers.max_header_bytes",
        "\"max_header_bytes\": 8192 | \"max_headers\": 8192        | callers.max_headers",
        "\"id\": \"a-1\"            | \"id\": \"A 1\"              | host.id",
        "\"id\": \"a-1\",           | ``                           | host.id",
        "127.0.0.1:9000             | platform.example:9000        | platform.address",
        "127.0.0.1:8081             | 10.0.0.1:8081                | operators.token",
        "127.0.0.1:8081             | 10.0.0.1:8081                | operators.tls",
        "{\"id\": 1,                | {\"id\": 0,                  | link.keys[0].id"
      })
  void shouldNameTheKeyAndARemedyWhenAValueIsWrong(String from, String to, String key) {
    List<SettingsError> faults = errors(VALID.replace(from, to == null ? "" : to));
    assertThat(faults).extracting(SettingsError::key).contains(key);
    assertThat(faults).allSatisfy(f -> assertThat(f.remedy()).isNotBlank());
  }

  @Test
  void shouldNotShowASecretWhenItIsWrong() {
    List<SettingsError> faults = errors(VALID.replace(SECRET, "beef"));
    assertThat(faults).hasSize(1);
    assertThat(faults.get(0).toString()).contains("link.keys[0].secret").doesNotContain("beef");
  }

  @Test
  void shouldReportAllErrorsAtOnceWhenSeveralValuesAreWrong() {
    String text = VALID.replace("\"id\": \"a-1\"", "\"id\": 7").replace("8192", "-1");
    assertThat(errors(text)).hasSize(2);
  }

  @Test
  void shouldReportTheLineWhenTheFileIsNotJson() {
    assertThat(errors("{\n\"host\": }").get(0).value()).contains("line 2");
  }

  @Test
  void shouldReadTheTokenFromTheEnvironmentWhenSet() {
    var environment = Map.of(OperatorListenerSettings.TOKEN_VARIABLE, "a-long-enough-token");
    SettingsResult c = HostSettings.parse(VALID, environment);
    assertThat(((SettingsResult.Valid) c).settings().operators().token())
        .contains("a-long-enough-token");
  }
}
