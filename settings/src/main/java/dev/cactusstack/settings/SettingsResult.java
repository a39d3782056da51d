package dev.cactusstack.settings;

import java.util.List;
import java.util.Objects;

/** The outcome of reading a settings file. Immutable and thread-safe. */
public sealed interface SettingsResult {

  /**
   * Every key is acceptable.
   *
   * @param settings the settings
   */
  record Valid(HostSettings settings) implements SettingsResult {
    /** Checks the settings. */
    public Valid {
      Objects.requireNonNull(settings, "settings is null");
    }
  }

  /**
   * At least one key is not acceptable.
   *
   * @param errors all that is wrong
   */
  record Invalid(List<SettingsError> errors) implements SettingsResult {
    /** Copies the faults. */
    public Invalid {
      errors = List.copyOf(errors);
    }
  }
}
