package dev.cactusstack.host.observe;

import java.util.concurrent.TimeUnit;

/** A monotonic clock. Implementations are thread-safe. */
@FunctionalInterface
public interface Ticker {
  /** The clock of the Java runtime. */
  Ticker SYSTEM = System::nanoTime;

  /**
   * Reads the clock.
   *
   * @return nanoseconds since an arbitrary moment
   */
  long nanos();

  /**
   * Reads the clock.
   *
   * @return milliseconds since an arbitrary moment
   */
  default long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos());
  }
}
