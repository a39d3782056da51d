package dev.cactusstack.host.callers;

import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.RouteKey;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * How long owners of routes said that a request would wait, on their last answers. Reports expire.
 * Thread-safe.
 */
final class RemoteRouteLoads {
  private static final long BUSY_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long WAIT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Ticker ticker;
  private final Map<RouteKey, Report> reports = new ConcurrentHashMap<>();

  /** An owner's words: whether it had no place free, and the wait it expected. */
  private record Report(boolean busy, double waitMs, long receivedAtNanos) {}

  RemoteRouteLoads(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Renders the load of a route for an answer: {@code busy|free EXPECTED_WAIT_MS}. */
  static String render(RouteScheduler scheduler) {
    double wait = Math.min(scheduler.expectedWaitMs(), Integer.MAX_VALUE);
    boolean busy = wait > 0;
    return (busy ? "busy " : "free ") + Math.round(wait);
  }

  void record(RouteKey key, @Nullable String header) {
    if (header == null) {
      return;
    }
    String[] parts = header.split(" ");
    try {
      reports.put(key, new Report(parts[0].equals("busy"), Double.parseDouble(parts[1]), ticker.nanos()));
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      reports.remove(key);
    }
  }

  /** Records that the owner refused a request for lack of a free place. */
  void recordRefusal(RouteKey key, @Nullable String header) {
    record(key, header);
    Report r = reports.get(key);
    if (r != null) {
      reports.put(key, new Report(true, r.waitMs, ticker.nanos()));
    }
  }

  /** Whether the owner had no free place a moment ago, so that asking it again is not worth it. */
  boolean isBusy(RouteKey key) {
    Report r = reports.get(key);
    return r != null && r.busy && ticker.nanos() - r.receivedAtNanos < BUSY_VALIDITY_NANOS;
  }

  /** The wait that the owner expected, or {@code unknown} when the report has expired. */
  double expectedWaitMs(RouteKey key, double unknown) {
    Report r = reports.get(key);
    return r != null && ticker.nanos() - r.receivedAtNanos < WAIT_VALIDITY_NANOS ? r.waitMs : unknown;
  }
}
