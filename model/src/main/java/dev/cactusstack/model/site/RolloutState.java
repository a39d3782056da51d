package dev.cactusstack.model.site;

import java.util.Locale;
import java.util.Optional;

/** The state of a roll-out. Immutable and thread-safe. */
public enum RolloutState {
  /** The status of the roll-out has not been read, or another host schedules the service. */
  UNREAD,
  /** A small share of the placements is made on the new version. */
  RUNNING,
  /** All placements are made on the new version, and those on the old version end. */
  PROMOTING,
  /** Only the new version is used. */
  SUCCEEDED,
  /** Only the old version is used. */
  ROLLED_BACK;

  /**
   * Returns the label for the store and for log lines.
   *
   * @return the name in lower case with underscores
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Finds a state by its label.
   *
   * @param label the label
   * @return the state; empty if there is none
   */
  public static Optional<RolloutState> ofLabel(String label) {
    for (RolloutState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }

  /**
   * Checks whether this state is a verdict.
   *
   * @return true if the state never changes again for the same order
   */
  public boolean isVerdict() {
    return this == SUCCEEDED || this == ROLLED_BACK;
  }
}
