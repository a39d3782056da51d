package dev.cactusstack.settings;

import java.util.Objects;

/**
 * An error in a settings file. Immutable and thread-safe.
 *
 * @param key the dotted path of the setting
 * @param value the value found, as JSON, or {@code absent}
 * @param remedy what to write instead
 */
public record SettingsError(String key, String value, String remedy) {

  /** Checks the components. */
  public SettingsError {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(value, "value is null");
    Objects.requireNonNull(remedy, "remedy is null");
  }

  @Override
  public String toString() {
    return "event=settings_fault key="
        + key
        + " value="
        + quote(value)
        + " remedy="
        + quote(remedy);
  }

  private static String quote(String s) {
    return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
  }
}
