package dev.cactusstack.standin;

/**
 * Faults that the platform stand-in causes. Immutable and thread-safe.
 *
 * @param down whether every request is refused by closing the connection
 * @param slowMs delay before each answer, in milliseconds
 * @param loseAnswers number of further transactions whose answer is lost after the write
 */
public record PlatformFaults(boolean down, long slowMs, int loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
