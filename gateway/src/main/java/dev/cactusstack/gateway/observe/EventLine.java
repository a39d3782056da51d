package dev.cactusstack.gateway.observe;

/** One log line being built. Confined to one thread. */
public final class EventLine {
  private final EventLog log;
  private final StringBuilder line = new StringBuilder(128);

  EventLine(EventLog log, String event) {
    this.log = log;
    line.append(" event=").append(event);
  }

  /**
   * Adds a pair.
   *
   * @param key the key, a plain word
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
   * Adds a pair.
   *
   * @param key the key, a plain word
   * @param value the value
   * @return this line
   */
  public EventLine with(String key, long value) {
    line.append(' ').append(key).append('=').append(value);
    return this;
  }

  /** Ends the line. */
  public void write() {
    log.enqueue(line.toString());
  }

  private static boolean isPlain(String v) {
    for (int i = 0; i < v.length(); i++) {
      char c = v.charAt(i);
      if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\') {
        return false;
      }
    }
    return !v.isEmpty();
  }

  private void appendQuoted(String v) {
    line.append('"');
    for (int i = 0; i < v.length(); i++) {
      char c = v.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else {
        line.append(c < ' ' ? ' ' : c);
      }
    }
    line.append('"');
  }
}
