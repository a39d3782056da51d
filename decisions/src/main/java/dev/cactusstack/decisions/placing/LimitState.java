package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.DatedLimit;
import dev.cactusstack.decisions.limits.RequestCounter;
import dev.cactusstack.decisions.limits.RequestLimit;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What a scheduler knows of the limit of one start of an upstream, and its count of the requests
 * that it has placed there.
 *
 * <p>Invariant: the upstream is limited exactly as long as there is a count, and a new count starts
 * empty. Confined to one thread.
 */
final class LimitState {
  private static final double TOKENS_PRECISION = 10;

  private @Nullable DatedLimit known;
  private @Nullable RequestCounter counter;
  private double share;

  /** Sets this scheduler's share of the limit. */
  void updateShare(double newShare, long nowMs) {
    if (newShare != share) {
      share = newShare;
      updateCounter(nowMs);
    }
  }

  /** Records what the upstream said, with its present ages, as another host passed it on. */
  void record(RequestLimit said, long nowMs) {
    if (known == null && !said.isLimited()) {
      return;
    }
    known = DatedLimit.merge(known, said.fromAnotherHost(), nowMs);
    updateCounter(nowMs);
  }

  private void updateCounter(long nowMs) {
    if (known == null || !known.statement().isLimited()) {
      counter = null;
      return;
    }
    if (counter == null) {
      counter = new RequestCounter(nowMs);
    }
    counter.update(known.statement().requestsPerSecond(), share, nowMs);
  }

  boolean isLimited() {
    return counter != null;
  }

  /** Returns what the upstream said last; empty if it has never named a limit. */
  Optional<RequestLimit> statement(long nowMs) {
    return Optional.ofNullable(known).map(dated -> dated.at(nowMs));
  }

  /** Returns the time until a request can be placed, in milliseconds; infinite if none can. */
  double timeUntilAllowedMs(long nowMs) {
    return counter == null ? 0 : counter.timeUntilAllowedMs(nowMs);
  }

  /** Returns the rate at which requests can be placed, in requests per second. */
  double requestsPerSecond() {
    return counter == null ? RequestLimit.UNLIMITED : counter.requestsPerSecond();
  }

  /** Counts a request that is placed now, which must be allowed. */
  void count(long nowMs) {
    if (counter != null && !counter.tryCount(nowMs)) {
      throw new IllegalStateException("placed a request that the limit doesn't allow");
    }
  }

  /** Takes a counted request off the count that was not sent. */
  void takeBack(long countedAtMs, long nowMs) {
    if (counter != null) {
      counter.takeBack(countedAtMs, nowMs);
    }
  }

  /** Describes the limit for a log line; empty if there is none. */
  String describe(long nowMs) {
    if (known == null || counter == null) {
      return "";
    }
    return ",limit="
        + known.statement().requestsPerSecond()
        + ",tokens="
        + Math.floor(counter.available(nowMs) * TOKENS_PRECISION) / TOKENS_PRECISION;
  }
}
