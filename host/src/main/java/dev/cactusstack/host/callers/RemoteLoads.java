package dev.cactusstack.host.callers;

import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.RouteKey;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What owners of routes said of their load on their last answers. Reports expire. Thread-safe. */
final class RemoteLoads {
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final double ROOM_SHARE = 0.8;

  private final Ticker ticker;
  private final Map<RouteKey, Report> reports = new ConcurrentHashMap<>();

  private record Report(int inFlight, int waiting, int capacity, long atNanos) {}

  RemoteLoads(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Renders the load of a route for an answer: {@code IN_FLIGHT/WAITING/CAPACITY}. */
  static String render(RouteScheduler s) {
    return s.inFlight() + "/" + s.waiting() + "/" + s.capacity();
  }

  void record(RouteKey key, @Nullable String header) {
    if (header == null) {
      return;
    }
    String[] p = header.split("/");
    try {
      reports.put(
          key,
          new Report(
              Integer.parseInt(p[0]),
              Integer.parseInt(p[1]),
              Integer.parseInt(p[2]),
              ticker.nanos()));
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      reports.remove(key);
    }
  }

  /** Whether the owner reported waiting requests a moment ago. */
  boolean isBusy(RouteKey key) {
    Report r = fresh(key);
    return r != null && (r.waiting > 0 || r.inFlight >= r.capacity);
  }

  /** Whether the owner is not known to be short of room. */
  boolean hasRoom(RouteKey key) {
    Report r = fresh(key);
    return r == null || r.waiting == 0 && r.inFlight < ROOM_SHARE * r.capacity;
  }

  private @Nullable Report fresh(RouteKey key) {
    Report r = reports.get(key);
    return r != null && ticker.nanos() - r.atNanos < FRESH_NANOS ? r : null;
  }
}
