package dev.cactusstack.decisions.registrations;

/**
 * Detects that the machine was suspended, from clocks that differ in whether they count that time.
 *
 * <p>The monotonic clock stops while a machine is suspended, the time of day does not. A step of
 * the time of day looks the same, so a detected suspension is a reason to check, not a proof.
 * Confined to one thread.
 */
public final class SuspensionDetector {
  /** Minimum difference of the clocks; below it they drift apart or are read at unequal times. */
  private static final long MIN_SUSPENSION_MS = 300;

  private long offsetMs;

  /**
   * Creates a detector.
   *
   * @param monotonicMs the monotonic clock, in milliseconds
   * @param timeOfDayMs the time of day at the same moment, in milliseconds
   */
  public SuspensionDetector(long monotonicMs, long timeOfDayMs) {
    this.offsetMs = timeOfDayMs - monotonicMs;
  }

  /**
   * Returns how long the machine seems to have been suspended since the previous call.
   *
   * @param monotonicMs the monotonic clock, in milliseconds
   * @param timeOfDayMs the time of day at the same moment, in milliseconds
   * @return the time that the monotonic clock did not count, in milliseconds; 0 if there is none
   */
  public long suspendedMs(long monotonicMs, long timeOfDayMs) {
    long newOffsetMs = timeOfDayMs - monotonicMs;
    long differenceMs = newOffsetMs - offsetMs;
    offsetMs = newOffsetMs;
    return differenceMs >= MIN_SUSPENSION_MS ? differenceMs : 0;
  }
}
