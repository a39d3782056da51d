package dev.cactusstack.decisions.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Requests that wait for a slot.
 *
 * <p>Those that can still meet their objective come first, among them the more urgent route, then
 * the newest. The newest has the most time left: when more requests come than can be served, taking
 * the oldest first would make all of them late (adaptive LIFO; Fail at Scale, 2015). Confined to
 * one thread.
 */
final class WaitingLine {
  private static final Comparator<Waiting> NEWEST_OF_MOST_URGENT =
      Comparator.comparingInt((Waiting w) -> w.ask.priority())
          .thenComparingLong(w -> -w.sinceMs)
          .thenComparingLong(w -> -w.order);

  private final List<Waiting> line = new ArrayList<>();
  private long lastOrder;

  void add(PlacementRequest ask, long nowMs) {
    line.add(new Waiting(ask, nowMs, ++lastOrder));
  }

  int size() {
    return line.size();
  }

  boolean remove(PlacementKey key) {
    return line.removeIf(w -> w.ask.key().equals(key));
  }

  int count(Predicate<Waiting> which) {
    return (int) line.stream().filter(which).count();
  }

  /** Requests in the order in which slots go to them. */
  List<Waiting> ordered(Predicate<Waiting> onTime) {
    Comparator<Waiting> order = Comparator.comparing(w -> !onTime.test(w));
    return line.stream().sorted(order.thenComparing(NEWEST_OF_MOST_URGENT)).toList();
  }

  /** Takes out the one that slots would go to last. */
  Optional<Waiting> takeLast(Predicate<Waiting> which) {
    Optional<Waiting> last = line.stream().filter(which).max(NEWEST_OF_MOST_URGENT);
    last.ifPresent(line::remove);
    return last;
  }

  List<Waiting> takeAll(Predicate<Waiting> which) {
    List<Waiting> out = new ArrayList<>();
    for (Iterator<Waiting> i = line.iterator(); i.hasNext(); ) {
      Waiting w = i.next();
      if (which.test(w)) {
        out.add(w);
        i.remove();
      }
    }
    return out;
  }

  /** A request with the moment from which it waits. */
  record Waiting(PlacementRequest ask, long sinceMs, long order) {
    double onTimeMs(long nowMs) {
      return ask.objectiveRemainingMs() - (nowMs - sinceMs);
    }

    double leftMs(long nowMs) {
      return ask.deadlineRemainingMs() - (nowMs - sinceMs);
    }

    long waitedMs(long nowMs) {
      return nowMs - sinceMs;
    }
  }
}
