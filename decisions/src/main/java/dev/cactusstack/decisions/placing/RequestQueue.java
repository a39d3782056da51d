package dev.cactusstack.decisions.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for an upstream slot.
 *
 * <p>Requests that can still meet their latency objective are served first; among those, requests
 * of the route with the higher priority, then the newest. The newest request has the most time
 * left: under overload, serving the oldest first would make all requests late (adaptive LIFO; Fail
 * at Scale, 2015). Confined to one thread.
 */
final class RequestQueue {
  private static final Comparator<QueuedRequest> BY_PRIORITY_THEN_NEWEST =
      Comparator.comparingInt((QueuedRequest queued) -> queued.request.priority())
          .thenComparingLong(queued -> -queued.queuedAtMs)
          .thenComparingLong(queued -> -queued.arrivalNumber);

  private final List<QueuedRequest> queue = new ArrayList<>();
  private long lastArrivalNumber;

  void add(PlacementRequest request, long nowMs) {
    queue.add(new QueuedRequest(request, nowMs, ++lastArrivalNumber));
  }

  int size() {
    return queue.size();
  }

  boolean remove(PlacementKey key) {
    return queue.removeIf(queued -> queued.request.key().equals(key));
  }

  int count(Predicate<QueuedRequest> predicate) {
    return (int) queue.stream().filter(predicate).count();
  }

  /** Returns the requests in the order in which they get slots. */
  List<QueuedRequest> inServiceOrder(Predicate<QueuedRequest> canMeetObjective) {
    Comparator<QueuedRequest> comparator =
        Comparator.comparing(queued -> !canMeetObjective.test(queued));
    return queue.stream().sorted(comparator.thenComparing(BY_PRIORITY_THEN_NEWEST)).toList();
  }

  /** Removes the matching request that would be served last. */
  Optional<QueuedRequest> removeLast(Predicate<QueuedRequest> predicate) {
    Optional<QueuedRequest> last = queue.stream().filter(predicate).max(BY_PRIORITY_THEN_NEWEST);
    last.ifPresent(queue::remove);
    return last;
  }

  List<QueuedRequest> removeAll(Predicate<QueuedRequest> predicate) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (Iterator<QueuedRequest> i = queue.iterator(); i.hasNext(); ) {
      QueuedRequest queued = i.next();
      if (predicate.test(queued)) {
        removed.add(queued);
        i.remove();
      }
    }
    return removed;
  }

  /** A request with the time at which it was queued. */
  record QueuedRequest(PlacementRequest request, long queuedAtMs, long arrivalNumber) {
    double objectiveRemainingMs(long nowMs) {
      return request.objectiveRemainingMs() - (nowMs - queuedAtMs);
    }

    double deadlineRemainingMs(long nowMs) {
      return request.deadlineRemainingMs() - (nowMs - queuedAtMs);
    }

    long waitedMs(long nowMs) {
      return nowMs - queuedAtMs;
    }
  }
}
