package dev.cactusstack.embedded;

import dev.cactusstack.settings.HostSettings;
import dev.cactusstack.settings.SettingsResult;
import java.util.Map;
import java.util.Objects;

/**
 * The settings of an entry host on loopback. Immutable and thread-safe.
 *
 * @param id the host's id
 * @param dataCentre the data centre it is in
 * @param callersPort the port for callers
 * @param operatorsPort the port for operators
 * @param linkPort the port for other hosts
 * @param platformPort the port of the platform stand-in
 * @param extraSettings additional settings, as JSON members with a leading comma, or empty
 */
public record HostSpec(
    String id,
    String dataCentre,
    int callersPort,
    int operatorsPort,
    int linkPort,
    int platformPort,
    String extraSettings) {
  /** Used on loopback only; a deployment configures its own secret. */
  private static final String LOOPBACK_SECRET = "6361637475732d6c6f6f706261636b2d6f6e6c79";

  /** Checks that the texts are present. */
  public HostSpec {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(extraSettings, "extra is null");
  }

  /**
   * Returns the content of the settings file.
   *
   * @return the settings as JSON
   */
  public String toJson() {
    return """
        {
          "host": {"id": "%s", "data_centre": "%s"},
          "callers": {"address": "127.0.0.1:%d", "io_threads": 2},
          "operators": {"address": "127.0.0.1:%d"},
          "link": {"address": "127.0.0.1:%d", "keys": [{"id": 1, "secret": "%s"}]},
          "platform": {"address": "127.0.0.1:%d"}%s
        }
        """
        .formatted(
            id,
            dataCentre,
            callersPort,
            operatorsPort,
            linkPort,
            LOOPBACK_SECRET,
            platformPort,
            extraSettings);
  }

  /**
   * Parses and checks the settings.
   *
   * @param environment environment variables
   * @return the settings
   */
  public HostSettings settings(Map<String, String> environment) {
    SettingsResult checked = HostSettings.parse(toJson(), environment);
    if (checked instanceof SettingsResult.Valid v) {
      return v.settings();
    }
    throw new IllegalStateException(((SettingsResult.Invalid) checked).errors().toString());
  }
}
