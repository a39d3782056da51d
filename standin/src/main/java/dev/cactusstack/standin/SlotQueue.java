package dev.cactusstack.standin;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Runs requests of an upstream stand-in in a fixed number of slots and queues the rest.
 * Thread-safe.
 */
final class SlotQueue {
  private final int slots;
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private int busySlots;
  private int peakInFlight;
  private long arrivalsOverCapacity;

  SlotQueue(int slots) {
    this.slots = slots;
  }

  /** Runs a request in a free slot or queues it, and returns the number of requests in flight. */
  int submit(Runnable task) {
    int inFlight;
    synchronized (this) {
      inFlight = busySlots + queue.size() + 1;
      peakInFlight = Math.max(peakInFlight, inFlight);
      if (busySlots >= slots) {
        arrivalsOverCapacity++;
        queue.add(task);
        return inFlight;
      }
      busySlots++;
    }
    task.run();
    return inFlight;
  }

  void release() {
    Runnable next;
    synchronized (this) {
      next = queue.poll();
      if (next == null) {
        busySlots--;
        return;
      }
    }
    next.run();
  }

  synchronized int inFlight() {
    return busySlots + queue.size();
  }

  synchronized int peakInFlight() {
    return peakInFlight;
  }

  synchronized long arrivalsOverCapacity() {
    return arrivalsOverCapacity;
  }

  synchronized void resetCounters() {
    peakInFlight = busySlots + queue.size();
    arrivalsOverCapacity = 0;
  }
}
