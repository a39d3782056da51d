package dev.cactusstack.decisions.recovery;

/**
 * Decides whether the configuration that the store serves replaces the one in force.
 *
 * <p>Within an era only a higher operators' version does. After a restore the store may serve an
 * older version than the one in force, which operators have to write again. The configuration in
 * force then stays until the store has one at least as new, or has served the same older one for
 * {@value #HOLD_MS} ms in one era. Confined to one thread.
 */
public final class RestoredRules {
  /** Time for operators to write their configuration again, in milliseconds. */
  public static final long HOLD_MS = 10_000;

  private static final long NONE = -1;

  private long servedEra = NONE;
  private long servedVersion = NONE;
  private long servedSinceMs;

  /**
   * Decides about a configuration that the store serves.
   *
   * @param era the store's era in which the served configuration was read
   * @param eraInForce the store's era in which the configuration in force was read
   * @param version the operators' version that the store serves
   * @param versionInForce the operators' version in force
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return true if the served configuration replaces the one in force
   */
  public boolean replaces(
      long era, long eraInForce, long version, long versionInForce, long nowMs) {
    if (era <= eraInForce) {
      return era == eraInForce && version > versionInForce;
    }
    if (version >= versionInForce) {
      servedVersion = NONE;
      return true;
    }
    if (version != servedVersion || era != servedEra) {
      servedEra = era;
      servedVersion = version;
      servedSinceMs = nowMs;
    }
    if (nowMs - servedSinceMs < HOLD_MS) {
      return false;
    }
    servedVersion = NONE;
    return true;
  }

  /**
   * Returns how long an older configuration has to be served until it replaces the one in force.
   *
   * @param nowMs the current time on the same clock
   * @return milliseconds from now; the whole time if the store serves no older one
   */
  public long remainingMs(long nowMs) {
    return servedVersion == NONE ? HOLD_MS : Math.max(0, servedSinceMs + HOLD_MS - nowMs);
  }
}
