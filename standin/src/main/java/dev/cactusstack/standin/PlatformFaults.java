package dev.cactusstack.standin;

/**
 * Faults that the platform stand-in causes. Immutable and thread-safe.
 *
 * @param down whether every request is refused by closing the connection
 * @param responseDelayMs delay before each answer, in milliseconds
 * @param lostResponses number of further transactions whose answer is lost after the write
 * @param tableDown whether only the table service is refused, and the host list still answers
 */
public record PlatformFaults(boolean down, long responseDelayMs, int lostResponses, boolean tableDown) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false);

  /**
   * Creates faults of the whole platform.
   *
   * @param down whether every request is refused by closing the connection
   * @param responseDelayMs delay before each answer, in milliseconds
   * @param lostResponses number of further transactions whose answer is lost after the write
   */
  public PlatformFaults(boolean down, long responseDelayMs, int lostResponses) {
    this(down, responseDelayMs, lostResponses, false);
  }
}
