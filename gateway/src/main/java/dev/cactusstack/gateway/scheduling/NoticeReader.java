package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.placing.UpstreamNotices;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;

/**
 * Reads what upstreams say about themselves in their responses, and remembers it for this host.
 * Confined to the event loop.
 */
public final class NoticeReader {
  private static final int SERVICE_UNAVAILABLE = 503;

  private final LongSupplier clock;
  private final EventLog log;
  private final UpstreamHeaders upstreamHeaders;
  private final UpstreamNotices notices = new UpstreamNotices();

  /**
   * Creates a reader that knows nothing of any upstream.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param log logs what changes
   * @param upstreamHeaders reads the header fields of responses
   */
  public NoticeReader(LongSupplier clock, EventLog log, UpstreamHeaders upstreamHeaders) {
    this.clock = clock;
    this.log = log;
    this.upstreamHeaders = upstreamHeaders;
  }

  /**
   * Returns what is known.
   *
   * @return the notices of all upstreams to this host
   */
  public UpstreamNotices notices() {
    return notices;
  }

  /**
   * Reads a response of an upstream.
   *
   * @param upstream the upstream, which must be the one that responded
   * @param response its response
   * @param sentAtMs when the request was sent, on the same clock
   * @return what it says about itself
   */
  public UpstreamNotice read(
      UpstreamRegistration upstream, ExchangeResult.Response response, long sentAtMs) {
    long now = clock.getAsLong();
    var notice =
        new UpstreamNotice(
            upstreamHeaders.isLeaving(response.headers()),
            holdOffMs(response),
            limit(upstream, response, now - sentAtMs));
    UpstreamNotices.Permission permissionBefore = notices.permission(upstream, now);
    double limitBefore = knownLimit(upstream, now);
    notices.record(upstream, notice, now);
    UpstreamNotices.Permission permission = notices.permission(upstream, now);
    boolean refusesThisHost =
        permission == UpstreamNotices.Permission.LEAVING
            || permission == UpstreamNotices.Permission.HELD_OFF;
    if (refusesThisHost && permission != permissionBefore) {
      logRefusal(upstream, notice, response);
    }
    double limit = knownLimit(upstream, now);
    if (limit != limitBefore) {
      logLimit(upstream, limitBefore, limit, response);
    }
    return notice;
  }

  private void logRefusal(
      UpstreamRegistration upstream, UpstreamNotice notice, ExchangeResult.Response response) {
    log.event("upstream_notice")
        .with("upstream", upstream.id())
        .with("says", notice.leaving() ? "leaving" : "hold-off")
        .with("hold_off_ms", notice.holdOffMs())
        .with("status", response.status())
        .write();
  }

  private void logLimit(
      UpstreamRegistration upstream,
      double before,
      double limit,
      ExchangeResult.Response response) {
    log.event("upstream_notice")
        .with("upstream", upstream.id())
        .with("says", "limit")
        .with("per_second", perSecond(limit))
        .with("before", perSecond(before))
        .with("status", response.status())
        .write();
  }

  private double knownLimit(UpstreamRegistration upstream, long nowMs) {
    return notices
        .current(upstream, nowMs)
        .limit()
        .map(RequestLimit::requestsPerSecond)
        .orElse(RequestLimit.UNLIMITED);
  }

  private static String perSecond(double limit) {
    return limit == RequestLimit.UNLIMITED ? "none" : String.valueOf(limit);
  }

  /** Returns what a response says of the limit; without the field it says that there is none. */
  private Optional<RequestLimit> limit(
      UpstreamRegistration upstream, ExchangeResult.Response response, long sentAgeMs) {
    OptionalDouble rate = upstreamHeaders.requestsPerSecond(response.headers());
    if (rate.isEmpty()) {
      return Optional.of(new RequestLimit(RequestLimit.UNLIMITED, sentAgeMs, 0));
    }
    OptionalDouble usedRate = RequestLimit.toUsableRate(rate.getAsDouble());
    if (!RequestLimit.isValidRate(rate.getAsDouble())) {
      log.event("server_limit_invalid")
          .with("upstream", upstream.id())
          .with("per_second", String.valueOf(rate.getAsDouble()))
          .with("used", usedRate.isPresent() ? perSecond(usedRate.getAsDouble()) : "nothing")
          .write();
    }
    return usedRate.isPresent()
        ? Optional.of(new RequestLimit(usedRate.getAsDouble(), sentAgeMs, 0))
        : Optional.empty();
  }

  private long holdOffMs(ExchangeResult.Response response) {
    OptionalDouble seconds =
        response.status() == SERVICE_UNAVAILABLE
            ? upstreamHeaders.holdOffSeconds(response.headers())
            : OptionalDouble.empty();
    if (seconds.isEmpty()) {
      return 0;
    }
    long holdOffMs = UpstreamNotice.toHoldOffMs(seconds.getAsDouble());
    if (!UpstreamNotice.isValidHoldOff(seconds.getAsDouble())) {
      log.event("hold_off_invalid")
          .with("seconds", String.valueOf(seconds.getAsDouble()))
          .with("used_ms", holdOffMs)
          .write();
    }
    return holdOffMs;
  }
}
