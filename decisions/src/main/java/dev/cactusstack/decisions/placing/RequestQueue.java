package dev.cactusstack.decisions.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for an upstream slot.
 *
 * <p>Requests that can still meet their latency objective are served first; among those, requests
 * with the higher priority, then those of the workspace that recently used the least slot time,
 * then the newest. The newest request has the most time left: under overload, serving the oldest
 * first would make all requests late (adaptive LIFO; Fail at Scale, 2015). Requests of a workspace
 * that is owed a slot ({@link FairShare}) precede the priority. Confined to one thread.
 */
final class RequestQueue {
  private static final Comparator<QueuedRequest> BY_PRIORITY =
      Comparator.comparingInt(queued -> queued.request.priority());
  private static final Comparator<QueuedRequest> NEWEST_FIRST =
      Comparator.comparingLong((QueuedRequest queued) -> -queued.queuedAtMs)
          .thenComparingLong(queued -> -queued.arrivalNumber);

  private final FairShare fairShare;
  private final List<QueuedRequest> queue = new ArrayList<>();
  private long lastArrivalNumber;

  RequestQueue(FairShare fairShare) {
    this.fairShare = fairShare;
  }

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
  List<QueuedRequest> inServiceOrder(Predicate<QueuedRequest> canMeetObjective, long nowMs) {
    Comparator<QueuedRequest> onTimeFirst =
        Comparator.comparing(queued -> !canMeetObjective.test(queued));
    return queue.stream().sorted(onTimeFirst.thenComparing(byPriorityAndUse(nowMs))).toList();
  }

  private Comparator<QueuedRequest> byPriorityAndUse(long nowMs) {
    if (queue.stream().allMatch(queued -> queued.request.workspace().isEmpty())) {
      return BY_PRIORITY.thenComparing(NEWEST_FIRST);
    }
    Map<String, Double> usedMs = new HashMap<>();
    queue.forEach(
        queued ->
            usedMs.computeIfAbsent(
                queued.request.workspace(), name -> fairShare.usedMs(name, nowMs)));
    Comparator<QueuedRequest> owedFirst =
        Comparator.comparing(queued -> !fairShare.isOwed(queued.request.workspace()));
    return owedFirst
        .thenComparing(BY_PRIORITY)
        .thenComparingDouble(queued -> usedMs.getOrDefault(queued.request.workspace(), 0.0))
        .thenComparing(NEWEST_FIRST);
  }

  /** Removes the matching request that would be served last. */
  Optional<QueuedRequest> removeLast(Predicate<QueuedRequest> predicate, long nowMs) {
    Optional<QueuedRequest> last = queue.stream().filter(predicate).max(byPriorityAndUse(nowMs));
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
