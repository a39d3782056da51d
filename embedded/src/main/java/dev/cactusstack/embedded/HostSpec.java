package dev.cactusstack.embedded;

import dev.cactusstack.settings.SettingsResult;
import dev.cactusstack.settings.HostSettings;
import java.util.Map;
import java.util.Objects;

/**
 * The settings of an entry host on loopback. Immutable and thread-safe.
 *
 * @param id the host's identity
 * @param dataCentre where it is
 * @param callersPort its port for callers
 * @param operatorsPort its port for operators
 * @param linkPort its port for other hosts
 * @param platformPort the platform stand-in's port
 * @param extra further settings, as JSON members with a leading comma, or empty
 */
public record HostSpec(
    String id,
    String dataCentre,
    int callersPort,
    int operatorsPort,
    int linkPort,
    int platformPort,
    String extra) {
  /** For stand-ins on loopback only; a deployment has its own. */
  private static final String LOOPBACK_SECRET = "6361637475732d6c6f6f706261636b2d6f6e6c79";

  /** Checks the texts. */
  public HostSpec {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(extra, "extra is null");
  }

  /**
   * Renders a settings file.
   *
   * @return JSON
   */
  public String json() {
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
            extra);
  }

  /**
   * Checks the settings file.
   *
   * @param environment environment variables
   * @return the settings
   */
  public HostSettings settings(Map<String, String> environment) {
    SettingsResult checked = HostSettings.parse(json(), environment);
    if (checked instanceof SettingsResult.Valid v) {
      return v.settings();
    }
    throw new IllegalStateException(((SettingsResult.Invalid) checked).errors().toString());
  }
}
