package dev.cactusstack.host.callers;

/**
 * An upstream's report on one of its answers: {@code Cactusstack-Load: in-flight=3, slots=4,
 * state=warm}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state what the upstream says of itself
 */
record LoadReport(ReportedState state) {
  private static final String STATE = "state=";
  static final LoadReport NONE = new LoadReport(ReportedState.UNSPECIFIED);

  /** What an upstream can say of itself. */
  enum ReportedState {
    UNSPECIFIED,
    WARM,
    COLD,
    LEAVING
  }

  static LoadReport parse(@org.jspecify.annotations.Nullable String header) {
    if (header == null) {
      return NONE;
    }
    int at = header.indexOf(STATE);
    if (at < 0) {
      return NONE;
    }
    int from = at + STATE.length();
    int to = header.indexOf(',', from);
    return new LoadReport(state(header.substring(from, to < 0 ? header.length() : to).strip()));
  }

  private static ReportedState state(String label) {
    return switch (label) {
      case "warm" -> ReportedState.WARM;
      case "cold" -> ReportedState.COLD;
      case "leaving" -> ReportedState.LEAVING;
      default -> ReportedState.UNSPECIFIED;
    };
  }
}
