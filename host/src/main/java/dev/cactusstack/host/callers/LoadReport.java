package dev.cactusstack.host.callers;

/**
 * The load report of an upstream on one of its responses: {@code Cactusstack-Load: in-flight=3,
 * slots=4, state=warm}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state the state that the upstream reports
 */
record LoadReport(ReportedState state) {
  private static final String STATE = "state=";
  static final LoadReport NONE = new LoadReport(ReportedState.UNSPECIFIED);

  /** The states that an upstream can report. */
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
    int stateIndex = header.indexOf(STATE);
    if (stateIndex < 0) {
      return NONE;
    }
    int from = stateIndex + STATE.length();
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
