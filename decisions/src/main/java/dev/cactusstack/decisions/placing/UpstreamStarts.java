package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * The starts of the upstreams that a scheduler has used.
 *
 * <p>An upstream that restarts keeps its identity. A report of an unknown placement doesn't say
 * which start it is about, and may be late: it is about the present one only if no other start has
 * been in use lately. Confined to one thread.
 */
final class UpstreamStarts {
  /** Longest delay of a repeated report. */
  private static final long MAX_REPORT_DELAY_MS = 600_000;

  private final Map<String, Start> latest = new HashMap<>();

  /** Records that a start of an upstream is in use. */
  void recordUse(UpstreamRegistration upstream, long nowMs) {
    latest.merge(
        upstream.id(),
        new Start(upstream.startedAtMs(), nowMs, nowMs - MAX_REPORT_DELAY_MS),
        Start::followedBy);
  }

  /** Forgets upstreams that have not been in use for so long that no report of them is expected. */
  void forgetUnused(long nowMs) {
    latest.values().removeIf(start -> nowMs - start.lastUsedAtMs >= MAX_REPORT_DELAY_MS);
  }

  /** Checks whether another start of the upstream has been in use lately. */
  boolean isRestarted(String upstreamId, long nowMs) {
    Start start = latest.get(upstreamId);
    return start != null && nowMs - start.restartedAtMs < MAX_REPORT_DELAY_MS;
  }

  private record Start(long startedAtMs, long lastUsedAtMs, long restartedAtMs) {
    Start followedBy(Start next) {
      boolean same = next.startedAtMs == startedAtMs;
      return new Start(
          next.startedAtMs, next.lastUsedAtMs, same ? restartedAtMs : next.lastUsedAtMs);
    }
  }
}
