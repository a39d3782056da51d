package dev.cactusstack.decisions.registrations;

/**
 * Decides whether upstream registrations are recent enough to place requests by them.
 *
 * <p>An upstream must not receive requests soon after it has announced that it leaves. Both the
 * host that decides and the host that sends check this, because either may have lost contact with
 * the store or been frozen without noticing. Stateless and thread-safe.
 */
public final class RegistrationAge {
  /** Maximum age for a placement, in milliseconds; leaves time for a read that fails once. */
  public static final long MAX_FOR_PLACEMENT_MS = 1_600;

  private RegistrationAge() {}

  /**
   * Checks whether a placement must not be used because of the age of its registrations.
   *
   * @param ageMs the age of the registrations, in milliseconds
   * @param anyHostReachesStore whether a host with newer registrations can be asked instead; if no
   *     host can read the store, the registrations are used however old they are
   * @return true if another host has to decide
   */
  public static boolean isTooOldForPlacement(long ageMs, boolean anyHostReachesStore) {
    return anyHostReachesStore && ageMs > MAX_FOR_PLACEMENT_MS;
  }
}
