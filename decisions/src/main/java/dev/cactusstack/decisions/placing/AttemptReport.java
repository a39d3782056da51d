package dev.cactusstack.decisions.placing;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of an attempt that an ask led to. Immutable and thread-safe.
 *
 * @param key the ask
 * @param upstreamId the upstream's identity
 * @param outcome how the attempt ended
 * @param durationMs from sending to the end, in milliseconds
 * @param load what the upstream said of its load
 */
public record AttemptReport(
    PlacementKey key,
    String upstreamId,
    AttemptOutcome outcome,
    long durationMs,
    Optional<ReportedLoad> load) {
  /** Checks the components. */
  public AttemptReport {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(upstreamId, "upstream is null");
    Objects.requireNonNull(outcome, "end is null");
    Objects.requireNonNull(load, "load is null");
  }
}
