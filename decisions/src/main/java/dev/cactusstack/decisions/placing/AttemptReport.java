package dev.cactusstack.decisions.placing;

import java.util.Objects;
import java.util.Optional;

/**
 * Reports how an attempt on an assigned slot ended. Immutable and thread-safe.
 *
 * @param key the placement request that the slot was assigned to
 * @param upstreamId the upstream's identity
 * @param outcome how the attempt ended
 * @param durationMs time from sending the request to the end of the attempt, in milliseconds
 * @param load the load that the upstream reported with its response, if any
 * @param notice what the upstream has said about itself to the host that reports
 */
public record AttemptReport(
    PlacementKey key,
    String upstreamId,
    AttemptOutcome outcome,
    long durationMs,
    Optional<ReportedLoad> load,
    UpstreamNotice notice) {
  /** Checks the components. */
  public AttemptReport {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(upstreamId, "upstreamId is null");
    Objects.requireNonNull(outcome, "outcome is null");
    Objects.requireNonNull(load, "load is null");
    Objects.requireNonNull(notice, "notice is null");
  }

  /**
   * Creates a report of an upstream that has said nothing about itself.
   *
   * @param key the placement request that the slot was assigned to
   * @param upstreamId the upstream's identity
   * @param outcome how the attempt ended
   * @param durationMs time from sending the request to the end of the attempt, in milliseconds
   * @param load the load that the upstream reported with its response, if any
   */
  public AttemptReport(
      PlacementKey key,
      String upstreamId,
      AttemptOutcome outcome,
      long durationMs,
      Optional<ReportedLoad> load) {
    this(key, upstreamId, outcome, durationMs, load, UpstreamNotice.NONE);
  }

  /**
   * Returns the same report at a later time, to send it again.
   *
   * @param elapsedMs time that has passed, in milliseconds
   * @return the report with an older notice
   */
  public AttemptReport agedBy(long elapsedMs) {
    return new AttemptReport(key, upstreamId, outcome, durationMs, load, notice.agedBy(elapsedMs));
  }
}
