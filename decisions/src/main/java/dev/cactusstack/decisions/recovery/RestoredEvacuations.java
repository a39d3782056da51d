package dev.cactusstack.decisions.recovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which evacuations stay in force that a restored store no longer has.
 *
 * <p>The store may have lost them although operators know that they were written, and requests must
 * not reach an evacuated data centre for that. An evacuation is held until the store has it again,
 * until operators take it back, or for {@value RestoredRules#HOLD_MS} ms. Confined to one thread.
 */
public final class RestoredEvacuations {
  private final Map<String, Long> heldUntilMs = new HashMap<>();

  /**
   * Holds the evacuations that a restore has taken back.
   *
   * @param inForce names of the data centres that were evacuated before the restore
   * @param stored names of those that the restored store has
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void onRestored(Set<String> inForce, Set<String> stored, long nowMs) {
    for (String dataCentre : inForce) {
      if (!stored.contains(dataCentre)) {
        heldUntilMs.putIfAbsent(dataCentre, nowMs + RestoredRules.HOLD_MS);
      }
    }
  }

  /**
   * Holds an evacuation no longer, because operators have written or taken it back since.
   *
   * @param dataCentre the data centre's name
   */
  public void release(String dataCentre) {
    heldUntilMs.remove(dataCentre);
  }

  /**
   * Returns the evacuations that are held, and forgets those that have been held long enough.
   *
   * @param nowMs the current time on the same clock
   * @return names of data centres
   */
  public Set<String> held(long nowMs) {
    heldUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    return new HashSet<>(heldUntilMs.keySet());
  }

  /**
   * Returns how long the first of the held evacuations is still held.
   *
   * @param nowMs the current time on the same clock
   * @return milliseconds from now; the whole time if none is held
   */
  public long remainingMs(long nowMs) {
    long untilMs =
        heldUntilMs.values().stream()
            .mapToLong(Long::longValue)
            .min()
            .orElse(nowMs + RestoredRules.HOLD_MS);
    return Math.max(0, untilMs - nowMs);
  }
}
