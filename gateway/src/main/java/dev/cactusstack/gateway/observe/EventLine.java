package dev.cactusstack.gateway.observe;

/** Builder of one log line. Confined to one thread. */
public final class EventLine {
  private final EventLog log;
  private final StringBuilder line = new StringBuilder(128);

  EventLine(EventLog log, String event) {
    this.log = log;
    line.append(" event=").append(event);
  }

  /**
   * Adds a key-value pair.
   *
   * @param key the key, one word that needs no quoting
   * @param value the value
   * @return this line
   */
  public EventLine with(String key, String value) {
    line.append(' ').append(key).append('=');
    if (isPlain(value)) {
      line.append(value);
    } else {
      appendQuoted(value);
    }
    return this;
  }

  /**
   * Adds a key-value pair.
   *
   * @param key the key, one word that needs no quoting
   * @param value the value
   * @return this line
   */
  public EventLine with(String key, long value) {
    line.append(' ').append(key).append('=').append(value);
    return this;
  }

  /** Completes the line and hands it to the log. */
  public void write() {
    log.enqueue(line.toString());
  }

  private static boolean isPlain(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\') {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private void appendQuoted(String text) {
    line.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else {
        line.append(c < ' ' ? ' ' : c);
      }
    }
    line.append('"');
  }
}
