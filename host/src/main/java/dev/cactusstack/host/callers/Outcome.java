package dev.cactusstack.host.callers;

/** Whether a request may have run, as reported to the caller. Immutable and thread-safe. */
enum Outcome {
  /** The request certainly did not run. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
