package dev.cactusstack.host.callers;

import java.util.Locale;

/**
 * An upstream's report on one of its answers: {@code Cactusstack-Load: in-flight=3, slots=4,
 * state=warm}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state what the upstream says of itself
 */
record LoadReport(Reported state) {
  static final LoadReport NONE = new LoadReport(Reported.NOTHING);

  /** What an upstream can say of itself. */
  enum Reported {
    NOTHING,
    WARM,
    COLD,
    LEAVING
  }

  static LoadReport parse(@org.jspecify.annotations.Nullable String header) {
    if (header == null) {
      return NONE;
    }
    for (String part : header.split(",")) {
      String p = part.trim().toLowerCase(Locale.ROOT);
      if (p.startsWith("state=")) {
        return new LoadReport(state(p.substring("state=".length())));
      }
    }
    return NONE;
  }

  private static Reported state(String label) {
    return switch (label) {
      case "warm" -> Reported.WARM;
      case "cold" -> Reported.COLD;
      case "leaving" -> Reported.LEAVING;
      default -> Reported.NOTHING;
    };
  }
}
