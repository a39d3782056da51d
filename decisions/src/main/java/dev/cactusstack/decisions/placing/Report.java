package dev.cactusstack.decisions.placing;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of an attempt that an ask led to. Immutable and thread-safe.
 *
 * @param key the ask
 * @param upstream the upstream's identity
 * @param end how the attempt ended
 * @param tookMs from sending to the end, in milliseconds
 * @param load what the upstream said of its load
 */
public record Report(
    AskKey key, String upstream, AttemptEnd end, long tookMs, Optional<LoadFigures> load) {
  /** Checks the components. */
  public Report {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(upstream, "upstream is null");
    Objects.requireNonNull(end, "end is null");
    Objects.requireNonNull(load, "load is null");
  }
}
