package dev.cactusstack.model.site;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace: callers who share API keys, a priority and a quota. Immutable and thread-safe.
 *
 * @param name the name that operators gave it
 * @param keys the digests of its API keys
 * @param priority its priority, which takes precedence over that of a route; 0 is the highest
 * @param requestsPerSecond its quota over all hosts, in requests per second; 0 if it has none
 * @param burst number of requests that the quota allows on top after an idle period
 */
public record Workspace(
    String name,
    Set<ApiKeyDigest> keys,
    OptionalInt priority,
    double requestsPerSecond,
    double burst) {
  /** Checks and copies the components. */
  public Workspace {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(priority, "priority is null");
    keys = Set.copyOf(keys);
    if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
      throw new IllegalArgumentException("quota and burst must not be negative: " + name);
    }
  }

  /**
   * Checks whether the requests of this workspace are limited.
   *
   * @return false if it has no quota
   */
  public boolean hasQuota() {
    return requestsPerSecond > 0;
  }
}
