package dev.cactusstack.ctl;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event of a host's log. Immutable and thread-safe.
 *
 * @param host the name of the host that wrote it, or of the file when the host isn't known
 * @param time when the host wrote it, by the host's own clock
 * @param sequence the place of the line among all that were read
 * @param fields the pairs, {@code time} and {@code event} among them
 * @param text the line from its time on
 */
record LogLine(String host, Instant time, long sequence, Map<String, String> fields, String text) {
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");
  private static final String TIME = "time=";

  LogLine {
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(time, "time is null");
    fields = Map.copyOf(fields);
  }

  /**
   * Reads a line. Words before the time are of whoever collected the logs; the last is the host.
   *
   * @param line the line
   * @param host the host as far as it is known
   * @param time when the host wrote it, by the host's own clock
   * @param sequence the place of the line
   * @return the event, or nothing when the line isn't one
   */
  static Optional<LogLine> parse(String line, String host, long sequence) {
    int timeStart = line.indexOf(TIME);
    if (timeStart < 0 || !line.contains(" event=")) {
      return Optional.empty();
    }
    String[] prefixWords = line.substring(0, timeStart).trim().split("\\s+");
    String lastPrefixWord = prefixWords[prefixWords.length - 1];
    String text = line.substring(timeStart);
    Map<String, String> fields = new HashMap<>();
    for (Matcher m = PAIR.matcher(text); m.find(); ) {
      fields.putIfAbsent(m.group(1), unquoted(m.group(2)));
    }
    String name = lastPrefixWord.isEmpty() ? host : lastPrefixWord;
    try {
      Instant time = Instant.parse(fields.getOrDefault("time", ""));
      return Optional.of(new LogLine(name, time, sequence, fields, text));
    } catch (DateTimeParseException notAnEvent) {
      return Optional.empty();
    }
  }

  private static String unquoted(String v) {
    boolean quoted = v.length() > 1 && v.startsWith("\"") && v.endsWith("\"");
    return quoted ? v.substring(1, v.length() - 1) : v;
  }

  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  boolean is(String event) {
    return field("event").equals(event);
  }
}
