package dev.cactusstack.model.site;

/**
 * Limits on the requests of callers. Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum size of a header section, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs maximum time to receive a header section, in milliseconds
 * @param idleTimeoutMs maximum time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  /** The limits that apply until a configuration is known. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L << 20, 3_000, 15_000);
}
