package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * What upstreams have said about themselves in their responses to this host. The host checks it
 * before each request that it sends, whoever placed the request.
 *
 * <p>Invariants: an upstream that has said that it leaves is not used again until it restarts, also
 * if its registration says otherwise. The end of a hold-off never moves to an earlier time. Both
 * belong to one start of an upstream: its address may later belong to another one, and a restarted
 * upstream knows nothing of before. Confined to one thread.
 */
public final class UpstreamNotices {
  /** Whether a request may be sent to an upstream. Thread-safe. */
  public enum Permission {
    /** The upstream takes requests. */
    ALLOWED,
    /** The upstream has said that it leaves. */
    LEAVING,
    /** The upstream wants no requests from this host for a while. */
    HELD_OFF
  }

  /** How long a notice is remembered; longer than an upstream serves after it. */
  private static final long RETENTION_MS = 3_600_000;

  private final Map<Key, Entry> entries = new HashMap<>();
  private long leavingCount;
  private long holdOffCount;

  /**
   * Records what an upstream said in a response.
   *
   * @param upstream the upstream
   * @param notice what it said
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return whether this changes what may be sent to it
   */
  public boolean record(UpstreamRegistration upstream, UpstreamNotice notice, long nowMs) {
    if (notice.isEmpty()) {
      return false;
    }
    entries.values().removeIf(entry -> nowMs - entry.recordedAtMs >= RETENTION_MS);
    Permission before = permission(upstream, nowMs);
    Entry previous = entries.getOrDefault(Key.of(upstream), new Entry(false, nowMs, nowMs));
    long heldOffUntilMs = Math.max(previous.heldOffUntilMs, nowMs + notice.holdOffMs());
    entries.put(
        Key.of(upstream), new Entry(previous.leaving || notice.leaving(), heldOffUntilMs, nowMs));
    Permission after = permission(upstream, nowMs);
    if (before == after) {
      return false;
    }
    leavingCount += after == Permission.LEAVING ? 1 : 0;
    holdOffCount += after == Permission.HELD_OFF ? 1 : 0;
    return true;
  }

  /**
   * Checks whether a request may be sent to an upstream now.
   *
   * @param upstream the upstream
   * @param nowMs the current time on the same clock
   * @return the permission
   */
  public Permission permission(UpstreamRegistration upstream, long nowMs) {
    Entry entry = entries.get(Key.of(upstream));
    if (entry == null) {
      return Permission.ALLOWED;
    }
    if (entry.leaving) {
      return Permission.LEAVING;
    }
    return nowMs < entry.heldOffUntilMs ? Permission.HELD_OFF : Permission.ALLOWED;
  }

  /**
   * Returns what is still true of what an upstream has said, to tell other hosts.
   *
   * @param upstream the upstream
   * @param nowMs the current time on the same clock
   * @return the notice, with the time that remains
   */
  public UpstreamNotice current(UpstreamRegistration upstream, long nowMs) {
    Entry entry = entries.get(Key.of(upstream));
    return entry == null
        ? UpstreamNotice.NONE
        : new UpstreamNotice(entry.leaving, Math.max(0, entry.heldOffUntilMs - nowMs));
  }

  /**
   * Returns how many upstreams have said that they leave.
   *
   * @return the count since the start
   */
  public long leavingCount() {
    return leavingCount;
  }

  /**
   * Returns how many hold-offs have begun.
   *
   * @return the count since the start
   */
  public long holdOffCount() {
    return holdOffCount;
  }

  /** Identifies one start of an upstream. */
  private record Key(String id, long startedAtMs) {
    static Key of(UpstreamRegistration upstream) {
      return new Key(upstream.id(), upstream.startedAtMs());
    }
  }

  private record Entry(boolean leaving, long heldOffUntilMs, long recordedAtMs) {}
}
