package dev.cactusstack.decisions.limits;

import java.util.Objects;

/**
 * The limit of one start of an upstream. Immutable and thread-safe.
 *
 * @param upstreamId the upstream's identity
 * @param startedAtMs when it started, in Unix milliseconds as it registered
 * @param limit what it said last
 */
public record UpstreamLimit(String upstreamId, long startedAtMs, RequestLimit limit) {
  /** Checks the components. */
  public UpstreamLimit {
    Objects.requireNonNull(upstreamId, "upstreamId is null");
    Objects.requireNonNull(limit, "limit is null");
  }

  /**
   * Returns the same limit at a later time.
   *
   * @param elapsedMs time that has passed, in milliseconds
   * @return the limit with an older statement
   */
  public UpstreamLimit agedBy(long elapsedMs) {
    return new UpstreamLimit(upstreamId, startedAtMs, limit.agedBy(elapsedMs));
  }
}
