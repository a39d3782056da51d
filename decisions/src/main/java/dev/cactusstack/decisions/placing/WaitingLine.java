package dev.cactusstack.decisions.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Requests that wait for a slot.
 *
 * <p>A free slot goes first to those that can still meet their objective, among them to the more
 * urgent route, then to the one whose objective ends first. Those that can't meet it any more come
 * after all others, newest first. Confined to one thread.
 */
final class WaitingLine {
  private final List<Waiting> line = new ArrayList<>();

  void add(Ask ask, long nowMs) {
    line.add(new Waiting(ask, nowMs));
  }

  int size() {
    return line.size();
  }

  boolean remove(AskKey key) {
    return line.removeIf(w -> w.ask.key().equals(key));
  }

  /** Requests in the order in which slots go to them. */
  List<Ask> ordered(ToDoubleFunction<Ask> workMs, long nowMs) {
    Comparator<Waiting> order =
        Comparator.comparing((Waiting w) -> !w.onTime(workMs, nowMs))
            .thenComparingInt(w -> w.ask.priority())
            .thenComparingLong(w -> w.onTime(workMs, nowMs) ? w.objectiveAtMs() : -w.sinceMs);
    return line.stream().sorted(order).map(w -> w.ask).toList();
  }

  /** Takes out those that have waited as long as they may. */
  List<Ask> takeExpired(long nowMs) {
    List<Ask> out = new ArrayList<>();
    for (Iterator<Waiting> i = line.iterator(); i.hasNext(); ) {
      Waiting w = i.next();
      if (nowMs - w.sinceMs >= w.ask.waitMs()) {
        out.add(w.ask);
        i.remove();
      }
    }
    return out;
  }

  private record Waiting(Ask ask, long sinceMs) {
    long objectiveAtMs() {
      return sinceMs + ask.objectiveMs();
    }

    boolean onTime(ToDoubleFunction<Ask> workMs, long nowMs) {
      return nowMs + workMs.applyAsDouble(ask) <= objectiveAtMs();
    }
  }
}
