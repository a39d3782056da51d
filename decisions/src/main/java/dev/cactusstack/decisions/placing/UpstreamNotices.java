package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.DatedLimit;
import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What upstreams have said about themselves in their responses to this host. The host checks it
 * before each request that it sends, whoever placed the request.
 *
 * <p>Invariants: an upstream that has said that it leaves is not used again until it restarts, also
 * if its registration says otherwise. The end of a hold-off never moves to an earlier time. A limit
 * holds until the upstream certainly says otherwise; until then it gets only requests that a
 * scheduler has counted. All belong to one start of an upstream: its address may later belong to
 * another one, and a restarted upstream knows nothing of before. Confined to one thread.
 */
public final class UpstreamNotices {
  /** Whether a request may be sent to an upstream. Thread-safe. */
  public enum Permission {
    /** The upstream takes requests. */
    ALLOWED,
    /** The upstream has said that it leaves. */
    LEAVING,
    /** The upstream wants no requests from this host for a while. */
    HELD_OFF,
    /** The upstream limits its requests, and this one is not counted. */
    LIMITED
  }

  /** How long a notice is remembered; longer than an upstream serves after it. */
  private static final long RETENTION_MS = 3_600_000;

  /** Most limits of one service that a scheduler is told at once, to bound the message. */
  static final int MAX_LIMITS = 100;

  private final Map<Key, Entry> entries = new HashMap<>();
  private long leavingCount;
  private long holdOffCount;
  private long limitCount;

  /**
   * Records what an upstream said in a response.
   *
   * @param upstream the upstream
   * @param notice what it said
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return whether this changes what may be sent to it, or its limit
   */
  public boolean record(UpstreamRegistration upstream, UpstreamNotice notice, long nowMs) {
    if (!matters(upstream, notice)) {
      return false;
    }
    entries.values().removeIf(entry -> nowMs - entry.recordedAtMs >= RETENTION_MS);
    Entry previous = entries.getOrDefault(Key.of(upstream), Entry.unrestricted(upstream, nowMs));
    Entry next = previous.with(notice, nowMs);
    entries.put(Key.of(upstream), next);
    return countChanges(previous, next, nowMs);
  }

  /** Checks whether a notice asks for less than all requests, or may end a limit. */
  private boolean matters(UpstreamRegistration upstream, UpstreamNotice notice) {
    if (notice.leaving() || notice.holdOffMs() > 0) {
      return true;
    }
    Entry known = entries.get(Key.of(upstream));
    return notice.limit().isPresent()
        && (notice.limit().get().isLimited() || (known != null && known.limit != null));
  }

  private boolean countChanges(Entry previous, Entry next, long nowMs) {
    Permission before = previous.permission(nowMs);
    Permission after = next.permission(nowMs);
    if (before != after) {
      leavingCount += after == Permission.LEAVING ? 1 : 0;
      holdOffCount += after == Permission.HELD_OFF ? 1 : 0;
    }
    limitCount += next.isLimited() && !previous.isLimited() ? 1 : 0;
    return before != after || previous.requestsPerSecond() != next.requestsPerSecond();
  }

  /**
   * Checks whether a request that no scheduler has counted may be sent to an upstream now.
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
    Permission permission = entry.permission(nowMs);
    boolean limited = permission == Permission.ALLOWED && entry.isLimited();
    return limited ? Permission.LIMITED : permission;
  }

  /**
   * Checks whether a request may be sent now on a placement, and learns what the scheduler knows of
   * the upstream's limit.
   *
   * @param placed the placement
   * @param nowMs the current time on the same clock
   * @return the permission
   */
  public Permission permission(PlacementDecision.Placed placed, long nowMs) {
    placed
        .limit()
        .map(RequestLimit::fromAnotherHost)
        .map(limit -> new UpstreamNotice(false, 0, Optional.of(limit)))
        .ifPresent(notice -> record(placed.upstream(), notice, nowMs));
    Permission permission = permission(placed.upstream(), nowMs);
    boolean counted = permission == Permission.LIMITED && placed.isCounted();
    return counted ? Permission.ALLOWED : permission;
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
    return entry == null ? UpstreamNotice.NONE : entry.notice(nowMs);
  }

  /**
   * Returns the limits that are known of the upstreams of a service, to tell its scheduler.
   *
   * @param service the service's name
   * @param nowMs the current time on the same clock
   * @return the limits, at most {@value #MAX_LIMITS}
   */
  public List<UpstreamLimit> limits(String service, long nowMs) {
    return entries.values().stream()
        .filter(entry -> entry.isLimited() && entry.upstream.service().equals(service))
        .limit(MAX_LIMITS)
        .flatMap(entry -> entry.upstreamLimit(nowMs).stream())
        .toList();
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

  /**
   * Returns how many times an upstream without a limit has named one.
   *
   * @return the count since the start
   */
  public long limitCount() {
    return limitCount;
  }

  /** Identifies one start of an upstream. */
  private record Key(String id, long startedAtMs) {
    static Key of(UpstreamRegistration upstream) {
      return new Key(upstream.id(), upstream.startedAtMs());
    }
  }

  /** What one start of an upstream has said. */
  private record Entry(
      UpstreamRegistration upstream,
      boolean leaving,
      long heldOffUntilMs,
      @Nullable DatedLimit limit,
      long recordedAtMs) {
    static Entry unrestricted(UpstreamRegistration upstream, long nowMs) {
      return new Entry(upstream, false, nowMs, null, nowMs);
    }

    Entry with(UpstreamNotice notice, long nowMs) {
      DatedLimit nextLimit =
          notice
              .limit()
              .filter(said -> limit != null || said.isLimited())
              .map(said -> DatedLimit.merge(limit, said, nowMs))
              .orElse(limit);
      return new Entry(
          upstream,
          leaving || notice.leaving(),
          Math.max(heldOffUntilMs, nowMs + notice.holdOffMs()),
          nextLimit,
          nowMs);
    }

    Permission permission(long nowMs) {
      if (leaving) {
        return Permission.LEAVING;
      }
      return nowMs < heldOffUntilMs ? Permission.HELD_OFF : Permission.ALLOWED;
    }

    boolean isLimited() {
      return limit != null && limit.statement().isLimited();
    }

    double requestsPerSecond() {
      return limit == null ? RequestLimit.UNLIMITED : limit.statement().requestsPerSecond();
    }

    UpstreamNotice notice(long nowMs) {
      Optional<RequestLimit> said = Optional.ofNullable(limit).map(known -> known.at(nowMs));
      return new UpstreamNotice(leaving, Math.max(0, heldOffUntilMs - nowMs), said);
    }

    Optional<UpstreamLimit> upstreamLimit(long nowMs) {
      return Optional.ofNullable(limit)
          .map(known -> new UpstreamLimit(upstream.id(), upstream.startedAtMs(), known.at(nowMs)));
    }
  }
}
