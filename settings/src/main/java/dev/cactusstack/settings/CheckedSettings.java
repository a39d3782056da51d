package dev.cactusstack.settings;

import java.util.List;
import java.util.Objects;

/** The outcome of reading a settings file. Immutable and thread-safe. */
public sealed interface CheckedSettings {

  /**
   * Every key is acceptable.
   *
   * @param settings the settings
   */
  record Valid(HostSettings settings) implements CheckedSettings {
    /** Checks the settings. */
    public Valid {
      Objects.requireNonNull(settings, "settings is null");
    }
  }

  /**
   * At least one key is not acceptable.
   *
   * @param faults all that is wrong
   */
  record Invalid(List<SettingsFault> faults) implements CheckedSettings {
    /** Copies the faults. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
