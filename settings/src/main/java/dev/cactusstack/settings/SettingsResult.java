package dev.cactusstack.settings;

import java.util.List;
import java.util.Objects;

/** The result of reading a settings file. Immutable and thread-safe. */
public sealed interface SettingsResult {

  /**
   * All settings are valid.
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
   * At least one setting is invalid.
   *
   * @param errors all errors found
   */
  record Invalid(List<SettingsError> errors) implements SettingsResult {
    /** Copies the errors. */
    public Invalid {
      errors = List.copyOf(errors);
    }
  }
}
