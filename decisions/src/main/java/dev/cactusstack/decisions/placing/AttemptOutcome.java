package dev.cactusstack.decisions.placing;

import java.util.Locale;

/**
 * How an attempt to run a request on an upstream ended.
 *
 * <p>Outcomes are sent by position, and their names appear in logs and metrics. Immutable and
 * thread-safe.
 */
public enum AttemptOutcome {
  /** A complete response that is not a server error. */
  ANSWERED(false, false),
  /** A complete response with a server error; the request ran. */
  FAILED(false, true),
  /** The upstream reported that it did not run the request. */
  REFUSED(true, true),
  /** Another upstream instance now has the address; it did not run the request. */
  WRONG_INSTANCE(true, true),
  /** No connection could be established; nothing was sent. */
  UNREACHABLE(true, true),
  /** The connection was lost or the response was invalid; the request may have run. */
  BROKEN(false, true),
  /** No response arrived in time; the request may have run. */
  TIMED_OUT(false, true),
  /** The caller disconnected, or another attempt responded first. */
  ABANDONED(false, false),
  /** The assigned slot was not used; nothing was sent. */
  UNUSED(true, false);

  private final boolean provesNotRun;
  private final boolean upstreamFault;

  AttemptOutcome(boolean provesNotRun, boolean upstreamFault) {
    this.provesNotRun = provesNotRun;
    this.upstreamFault = upstreamFault;
  }

  /**
   * Returns the label for metrics.
   *
   * @return the name in lower case with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Checks whether this outcome proves that the request did not run and never will.
   *
   * @return true if the request can be retried even if it is not idempotent
   */
  public boolean provesNotRun() {
    return provesNotRun;
  }

  /**
   * Checks whether this outcome counts as a fault of the upstream.
   *
   * @return true for a fault of the upstream or of the network path to it
   */
  public boolean upstreamFault() {
    return upstreamFault;
  }
}
