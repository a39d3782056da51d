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
 * An event in the log of a host. Immutable and thread-safe.
 *
 * @param host the host that wrote the line, or the file name if the host is unknown
 * @param time the time of the event by the clock of that host
 * @param sequence the position of the line among all lines read
 * @param fields the key-value pairs, including {@code time} and {@code event}
 * @param text the line without the text before its time
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
   * Parses a line. Words before the time were added by a log collector; the last of them is the
   * host.
   *
   * @param line the line
   * @param host the host to use if the line does not name one
   * @param sequence the position of the line among all lines read
   * @return the event, or empty if the line is not an event
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
