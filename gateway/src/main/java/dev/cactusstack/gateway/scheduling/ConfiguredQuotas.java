package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.model.site.Workspace;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Which workspaces have a quota, and since when, as far as this host has seen.
 *
 * <p>Invariant: a quota that is put back within {@value #RETENTION_MS} ms counts as if it had never
 * been removed, because permits granted before may be part of the same period. Confined to the
 * event loop.
 */
final class ConfiguredQuotas {
  /** Time after which use before a removal no longer matters, in milliseconds. */
  static final long RETENTION_MS = 60_000;

  private final Map<String, Long> addedAtMs = new HashMap<>();
  private final Map<String, Long> removedAtMs = new HashMap<>();
  private Map<String, Workspace> workspaces = Map.of();
  private OptionalLong followingSinceMs = OptionalLong.empty();

  /**
   * Takes over a configuration.
   *
   * @param current all workspaces that it has, by name
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  void update(Map<String, Workspace> current, long nowMs) {
    forgetOld(nowMs);
    Map<String, Workspace> before = workspaces;
    workspaces = current;
    before.values().stream()
        .filter(Workspace::hasQuota)
        .map(Workspace::name)
        .filter(name -> !has(name))
        .forEach(name -> removedAtMs.put(name, nowMs));
    current.values().stream()
        .filter(Workspace::hasQuota)
        .map(Workspace::name)
        .filter(name -> !hasQuota(before.get(name)))
        .forEach(name -> recordAdded(name, nowMs));
    if (followingSinceMs.isEmpty()) {
      followingSinceMs = OptionalLong.of(nowMs);
    }
  }

  private void recordAdded(String name, long nowMs) {
    boolean wasRemovedLately = removedAtMs.remove(name) != null;
    boolean mayHaveMissedUse =
        followingSinceMs.isEmpty() || nowMs - followingSinceMs.getAsLong() < RETENTION_MS;
    if (!wasRemovedLately && !mayHaveMissedUse) {
      addedAtMs.put(name, nowMs);
    }
  }

  /** Forgets quotas that were removed so long ago that earlier use does not matter any more. */
  void forgetOld(long nowMs) {
    removedAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
    addedAtMs.keySet().removeIf(name -> !isRemembered(name));
  }

  /** Checks whether a workspace has a quota. */
  boolean has(String name) {
    return hasQuota(workspaces.get(name));
  }

  /** Checks whether a workspace has a quota or had one lately. */
  boolean isRemembered(String name) {
    return has(name) || removedAtMs.containsKey(name);
  }

  /**
   * Returns since when a workspace has had a quota.
   *
   * @param name the workspace's name
   * @return the time at which it got its first one; empty if it may have had one earlier that this
   *     host does not know of
   */
  OptionalLong newSinceMs(String name) {
    Long atMs = addedAtMs.get(name);
    return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
  }

  private static boolean hasQuota(@Nullable Workspace workspace) {
    return workspace != null && workspace.hasQuota();
  }
}
