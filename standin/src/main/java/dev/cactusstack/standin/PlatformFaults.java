package dev.cactusstack.standin;

/**
 * Faults that the platform stand-in simulates. Immutable and thread-safe.
 *
 * @param down whether the connection of every request is closed without a response
 * @param responseDelayMs delay before each response, in milliseconds
 * @param lostResponses number of next transactions whose response is lost after the write
 * @param tableDown whether only the table service is down, while the host list still responds
 */
public record PlatformFaults(
    boolean down, long responseDelayMs, int lostResponses, boolean tableDown) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false);

  /**
   * Creates faults that affect the whole platform.
   *
   * @param down whether the connection of every request is closed without a response
   * @param responseDelayMs delay before each response, in milliseconds
   * @param lostResponses number of next transactions whose response is lost after the write
   */
  public PlatformFaults(boolean down, long responseDelayMs, int lostResponses) {
    this(down, responseDelayMs, lostResponses, false);
  }
}
