package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.RequestLimit;
import java.util.Objects;
import java.util.Optional;

/**
 * What an upstream says about itself in a response, besides its load. Immutable and thread-safe.
 *
 * @param leaving whether it leaves and wants no new requests from any host
 * @param holdOffMs how long it wants no requests from the host that it responded to, in
 *     milliseconds; 0 if it does not say so
 * @param limit the rate of requests that it takes from all hosts together; empty if it has said
 *     nothing about it, now or before
 */
public record UpstreamNotice(boolean leaving, long holdOffMs, Optional<RequestLimit> limit) {
  /** An upstream says nothing about itself. */
  public static final UpstreamNotice NONE = new UpstreamNotice(false, 0);

  /** Longest time that an upstream may hold a host off with one response, in milliseconds. */
  public static final long MAX_HOLD_OFF_MS = 600_000;

  private static final double MS_PER_SECOND = 1_000;

  /** Checks the components. */
  public UpstreamNotice {
    if (holdOffMs < 0 || holdOffMs > MAX_HOLD_OFF_MS) {
      throw new IllegalArgumentException("holdOffMs is out of range: " + holdOffMs);
    }
    Objects.requireNonNull(limit, "limit is null");
  }

  /**
   * Creates a notice that says nothing about a limit.
   *
   * @param leaving whether the upstream leaves
   * @param holdOffMs how long it wants no requests from the host, in milliseconds
   */
  public UpstreamNotice(boolean leaving, long holdOffMs) {
    this(leaving, holdOffMs, Optional.empty());
  }

  /**
   * Returns the same notice at a later time.
   *
   * @param elapsedMs time that has passed, in milliseconds
   * @return the notice with less time to hold off and an older limit
   */
  public UpstreamNotice agedBy(long elapsedMs) {
    return new UpstreamNotice(
        leaving, Math.max(0, holdOffMs - elapsedMs), limit.map(l -> l.agedBy(elapsedMs)));
  }

  /**
   * Checks whether a time can be used as it was given.
   *
   * @param holdOffSeconds the time that an upstream gave; not a number if it is unreadable
   * @return false if it is unreadable, negative or longer than the maximum
   */
  public static boolean isValidHoldOff(double holdOffSeconds) {
    return holdOffSeconds >= 0 && holdOffSeconds <= MAX_HOLD_OFF_MS / MS_PER_SECOND;
  }

  /**
   * Converts a time to one that can be used.
   *
   * @param holdOffSeconds the time that an upstream gave; not a number if it is unreadable
   * @return the time in milliseconds, rounded up and limited to the maximum; 0 if it is unreadable
   *     or negative
   */
  public static long toHoldOffMs(double holdOffSeconds) {
    boolean positive = holdOffSeconds > 0;
    return positive
        ? (long) Math.min(MAX_HOLD_OFF_MS, Math.ceil(holdOffSeconds * MS_PER_SECOND))
        : 0;
  }

  /**
   * Checks whether the upstream says anything.
   *
   * @return true if it does not
   */
  public boolean isEmpty() {
    return !leaving && holdOffMs == 0 && limit.isEmpty();
  }
}
