package dev.cactusstack.decisions.placing;

import java.util.Locale;

/** How an attempt to run a request on an upstream ended. Thread-safe. */
public enum AttemptOutcome {
  /** A whole answer that isn't a server error. */
  ANSWERED(false, false),
  /** A whole answer with a server error; the request ran. */
  FAILED(false, true),
  /** The upstream said that it did not run the request. */
  REFUSED(true, true),
  /** Another upstream has the address; it did not run the request. */
  WRONG_INSTANCE(true, true),
  /** No connection could be made; nothing was sent. */
  UNREACHABLE(true, true),
  /** The connection ended, or what came was no answer; the request may have run. */
  BROKEN(false, true),
  /** No answer came in time; the request may have run. */
  TIMED_OUT(false, true),
  /** The caller left or another attempt was faster. */
  ABANDONED(false, false),
  /** The place was not used; nothing was sent. */
  UNUSED(true, false);

  private final boolean provesNotRun;
  private final boolean upstreamFault;

  AttemptOutcome(boolean provesNotRun, boolean upstreamFault) {
    this.provesNotRun = provesNotRun;
    this.upstreamFault = upstreamFault;
  }

  /**
   * Returns the word for metrics.
   *
   * @return lower case with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Tells whether this end proves that the request did not run and never will.
   *
   * @return true when the request can be sent again whatever its kind
   */
  public boolean provesNotRun() {
    return provesNotRun;
  }

  /**
   * Tells whether this end speaks against the upstream.
   *
   * @return true for a fault of the upstream or of the way to it
   */
  public boolean upstreamFault() {
    return upstreamFault;
  }
}
