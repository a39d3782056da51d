package dev.cactusstack.ctl;

/** How a command ended. Immutable and thread-safe. */
enum ExitCode {
  SUCCESS(0),
  INVALID(2),
  CONFLICT(3),
  NOT_ACCEPTED_OR_UNKNOWN(4),
  NOT_AUTHORISED(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
