package dev.cactusstack.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The settings of one entry host. Immutable and thread-safe.
 *
 * @param id the host's identity
 * @param dataCentre where the host is
 * @param callers the port for callers
 * @param operators the port for operators
 * @param link the link between hosts
 * @param platform the platform's services
 * @param requests how requests are treated
 */
public record HostSettings(
    HostId id,
    DataCentre dataCentre,
    CallerListenerSettings callers,
    OperatorListenerSettings operators,
    LinkSettings link,
    PlatformSettings platform,
    RequestSettings requests) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /**
   * Reads and checks a settings file's text.
   *
   * @param text JSON, comments allowed
   * @param environment the process's environment variables
   * @return the settings, or every fault
   */
  public static SettingsResult parse(String text, Map<String, String> environment) {
    Objects.requireNonNull(text, "text is null");
    JsonNode root;
    try {
      root = MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      String location = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
      return new SettingsResult.Invalid(
          List.of(new SettingsError("(file)", location, "correct the JSON: " + e.getOriginalMessage())));
    }
    if (root == null || !root.isObject()) {
      return new SettingsResult.Invalid(
          List.of(new SettingsError("(file)", "no object", "write one object in braces")));
    }
    var errors = new ArrayList<SettingsError>();
    HostSettings settings = read(new Section("", root, errors), environment);
    return errors.isEmpty()
        ? new SettingsResult.Valid(settings)
        : new SettingsResult.Invalid(errors);
  }

  private static HostSettings read(Section root, Map<String, String> environment) {
    Section host = root.section("host");
    var settings =
        new HostSettings(
            host.parsed("id", "host-1", HostId::parse),
            host.parsed("data_centre", "example-1", DataCentre::parse),
            CallerListenerSettings.read(root.section("callers")),
            OperatorListenerSettings.read(root.section("operators"), environment),
            LinkSettings.read(root.section("link")),
            PlatformSettings.read(root.section("platform")),
            RequestSettings.read(root.section("requests")));
    host.rejectUnknownKeys();
    root.rejectUnknownKeys();
    return settings;
  }
}
