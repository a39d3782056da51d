package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.registrations.SuspensionDetector;
import java.util.function.LongSupplier;

/**
 * Knows when the registrations were requested and read, and when a read failed last. Time that the
 * machine was suspended counts too. Confined to the event loop.
 */
final class RegistrationTimes {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long FAILURE_MEMORY_MS = 5_000;

  private final LongSupplier clock;
  private final LongSupplier timeOfDay;
  private final SuspensionDetector suspensionDetector;
  private long lastReadAtMs = NEVER;
  private long lastFailureAtMs = NEVER;
  private long requestedAtMs = NEVER;

  /**
   * Creates an instance without reads.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param timeOfDay the time of day, in milliseconds, which also counts while the machine is
   *     suspended
   */
  RegistrationTimes(LongSupplier clock, LongSupplier timeOfDay) {
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.suspensionDetector = new SuspensionDetector(clock.getAsLong(), timeOfDay.getAsLong());
  }

  /** Adds time that the monotonic clock did not count to the age of the registrations. */
  void addSuspension() {
    long suspendedMs = suspensionDetector.suspendedMs(clock.getAsLong(), timeOfDay.getAsLong());
    if (suspendedMs > 0 && lastReadAtMs != NEVER) {
      lastReadAtMs -= suspendedMs;
      lastFailureAtMs -= suspendedMs;
      requestedAtMs -= suspendedMs;
    }
  }

  /** Records that a read is requested now. */
  void recordRequest() {
    requestedAtMs = clock.getAsLong();
  }

  /** Records that the requested read has succeeded. */
  void recordSuccess() {
    // The response may have waited while this host was frozen, so its age counts from the request.
    lastReadAtMs = requestedAtMs;
  }

  /**
   * Records that the requested read has failed.
   *
   * @param nowMs the current time on the monotonic clock, in milliseconds
   */
  void recordFailure(long nowMs) {
    lastFailureAtMs = nowMs;
  }

  /**
   * Returns when the last read was requested.
   *
   * @return the time on the monotonic clock, in milliseconds
   */
  long requestedAtMs() {
    return requestedAtMs;
  }

  /**
   * Returns the age of the registrations.
   *
   * @param nowMs the current time on the monotonic clock, in milliseconds
   * @return milliseconds since the last successful read was requested
   */
  long ageMs(long nowMs) {
    return nowMs - lastReadAtMs;
  }

  /**
   * Returns the age of the last failure.
   *
   * @param nowMs the current time on the monotonic clock, in milliseconds
   * @return milliseconds since a read failed; more than any real age if none has
   */
  long failureAgeMs(long nowMs) {
    return nowMs - lastFailureAtMs;
  }

  /**
   * Returns whether the registrations have never been read.
   *
   * @return true until the first successful read
   */
  boolean isNeverRead() {
    return lastReadAtMs == NEVER;
  }

  /**
   * Returns whether a read has failed since the last that succeeded was requested.
   *
   * @return true if the newest result is a failure
   */
  boolean hasFailedSinceRead() {
    return lastFailureAtMs > lastReadAtMs;
  }

  /**
   * Returns whether reads of the registrations fail.
   *
   * @return true from a failed read until one succeeds, or until the failure is so long ago that it
   *     says nothing about the store any more
   */
  boolean isStoreFailing() {
    return hasFailedSinceRead() && failureAgeMs(clock.getAsLong()) < FAILURE_MEMORY_MS;
  }
}
