package dev.cactusstack.settings;

import java.util.Objects;

/**
 * One thing that is wrong with a settings file. Immutable and thread-safe.
 *
 * @param key the dotted path of the setting
 * @param value what stands there, as JSON; {@code absent} for nothing
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
