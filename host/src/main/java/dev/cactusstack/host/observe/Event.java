package dev.cactusstack.host.observe;

import java.util.Objects;

/**
 * A structured log line of {@code key=value} pairs; values are quoted where needed.
 *
 * <p>Immutable and thread-safe.
 */
public final class Event {
  private final String line;

  private Event(String line) {
    this.line = line;
  }

  /**
   * Starts a line.
   *
   * @param name the name of the event
   * @return the line with its first pair
   */
  public static Event named(String name) {
    return new Event("event=" + quoted(Objects.requireNonNull(name, "name is null")));
  }

  /**
   * Adds a pair.
   *
   * @param key the key, without characters that need quoting
   * @param value the value
   * @return a new line with the pair appended
   */
  public Event with(String key, Object value) {
    Objects.requireNonNull(value, "value is null");
    return new Event(line + ' ' + key + '=' + quoted(value.toString()));
  }

  private static String quoted(String v) {
    if (!v.isEmpty()
        && v.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\')) {
      return v;
    }
    var b = new StringBuilder("\"");
    v.chars().forEach(c -> appendEscaped(b, (char) c));
    return b.append('"').toString();
  }

  private static void appendEscaped(StringBuilder b, char c) {
    switch (c) {
      case '"' -> b.append("\\\"");
      case '\\' -> b.append("\\\\");
      case '\n' -> b.append("\\n");
      case '\r' -> b.append("\\r");
      default -> {
        if (c < ' ') {
          b.append(String.format("\\u%04x", (int) c));
        } else {
          b.append(c);
        }
      }
    }
  }

  @Override
  public String toString() {
    return line;
  }
}
