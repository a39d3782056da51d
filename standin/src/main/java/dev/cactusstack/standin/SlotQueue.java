package dev.cactusstack.standin;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The true occupation of an upstream stand-in: runs in its slots, the rest in a queue. Thread-safe.
 */
final class SlotQueue {
  private final int slots;
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private int running;
  private int peak;
  private long overSlots;

  SlotQueue(int slots) {
    this.slots = slots;
  }

  /** Runs a request in a free slot, or queues it; returns the requests now in flight. */
  int arrive(Runnable run) {
    int inFlight;
    synchronized (this) {
      inFlight = running + queue.size() + 1;
      peak = Math.max(peak, inFlight);
      if (running >= slots) {
        overSlots++;
        queue.add(run);
        return inFlight;
      }
      running++;
    }
    run.run();
    return inFlight;
  }

  void depart() {
    Runnable next;
    synchronized (this) {
      next = queue.poll();
      if (next == null) {
        running--;
        return;
      }
    }
    next.run();
  }

  synchronized int inFlight() {
    return running + queue.size();
  }

  synchronized int peak() {
    return peak;
  }

  synchronized long overSlots() {
    return overSlots;
  }

  synchronized void resetCounts() {
    peak = running + queue.size();
    overSlots = 0;
  }
}
