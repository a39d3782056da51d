package dev.cactusstack.model.site;

/**
 * Bounds on what a caller may send. Immutable and thread-safe.
 *
 * @param maxHeaderBytes largest header section, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headerTimeoutMs longest time for sending a header section, in milliseconds
 * @param idleTimeoutMs longest time that a connection may stay unused, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  /** Bounds in force before a configuration is known. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L << 20, 3_000, 15_000);
}
