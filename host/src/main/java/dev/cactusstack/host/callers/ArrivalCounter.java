package dev.cactusstack.host.callers;

import dev.cactusstack.model.ServiceName;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the requests that callers sent to this host, by service. Thread-safe. */
public final class ArrivalCounter {
  private final Map<ServiceName, LongAdder> counts = new ConcurrentHashMap<>();

  void recordArrival(ServiceName s) {
    LongAdder a = counts.get(s);
    if (a == null) {
      a = counts.computeIfAbsent(s, x -> new LongAdder());
    }
    a.increment();
  }

  /**
   * Takes the counts since the last call.
   *
   * @return requests by service
   */
  public Map<ServiceName, Long> takeCounts() {
    var taken = new TreeMap<ServiceName, Long>();
    counts.forEach((s, a) -> taken.put(s, a.sumThenReset()));
    return taken;
  }
}
