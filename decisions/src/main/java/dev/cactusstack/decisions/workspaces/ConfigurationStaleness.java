package dev.cactusstack.decisions.workspaces;

import java.util.OptionalLong;

/**
 * Decides whether the configuration of this host may be older than the one in force on the other
 * hosts, so that an unknown API key may be a new one.
 *
 * <p>A change is noticed by whoever reads the store, and travels with the heartbeats. The
 * configuration is current if this host has lately read the store, or has a recent heartbeat of a
 * host that has, and has heard of no newer one. Confined to one thread.
 */
public final class ConfigurationStaleness {
  /**
   * Age of the last sign of contact with the store above which the configuration may be stale. A
   * heartbeat confirms contact for up to 1.2 s after a read, and a change is in force on all hosts
   * in touch after 2.5 s: the sum of both ages must not exceed that.
   */
  public static final long MAX_UNCONFIRMED_MS = 1_300;

  /** Shortest interval between two reads that requests with unknown keys cause. */
  public static final long READ_INTERVAL_MS = 600;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long lastReadAtMs = NEVER;

  /**
   * Checks whether the configuration may be stale.
   *
   * @param ownReadAgeMs time since this host's last successful read of the store was requested, in
   *     milliseconds
   * @param confirmedAgeMs age of the youngest heartbeat of another host that has lately read the
   *     store, in milliseconds; empty if none is known
   * @param mayBeBehind whether this host has lately heard of a change that it does not have
   * @return true if a key may be valid although this configuration does not have it
   */
  public static boolean mayBeStale(
      long ownReadAgeMs, OptionalLong confirmedAgeMs, boolean mayBeBehind) {
    long confirmedMs = Math.min(ownReadAgeMs, confirmedAgeMs.orElse(Long.MAX_VALUE));
    return mayBeBehind || confirmedMs > MAX_UNCONFIRMED_MS;
  }

  /**
   * Decides whether a request that finds the configuration stale causes a read of the store.
   * Without it, a site without other traffic would never confirm its configuration.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return true at most once per {@link #READ_INTERVAL_MS}, so that requests with unknown keys
   *     don't become as many calls of the store
   */
  public boolean tryAcquireRead(long nowMs) {
    if (nowMs - lastReadAtMs < READ_INTERVAL_MS) {
      return false;
    }
    lastReadAtMs = nowMs;
    return true;
  }
}
