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
   * Checks whether registrations are too old to place requests by them. They are used all the same
   * while no host can read newer ones.
   *
   * @param ageMs the age of the registrations, in milliseconds
   * @return true if another host has to decide, if there is one that can
   */
  public static boolean isTooOldForPlacement(long ageMs) {
    return ageMs > MAX_FOR_PLACEMENT_MS;
  }
}
