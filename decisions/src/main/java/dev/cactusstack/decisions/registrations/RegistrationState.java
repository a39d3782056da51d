package dev.cactusstack.decisions.registrations;

import java.util.Locale;

/** The state of an upstream's registration. Thread-safe. */
public enum RegistrationState {
  /** The upstream accepts requests. */
  SERVING,
  /** The upstream has announced that it leaves. */
  LEAVING,
  /** The registration is missing after an outage of the store; the upstream may still serve. */
  LAPSED,
  /** The registration was removed. */
  GONE;

  /**
   * Returns the label for logs.
   *
   * @return the name in lower case
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
