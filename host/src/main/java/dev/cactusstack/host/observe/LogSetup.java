package dev.cactusstack.host.observe;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends every log record to standard error as one line of pairs. Stateless. */
public final class LogSetup {
  private static final String[] QUIETED_LOGGERS = {"org.xnio", "io.undertow", "org.jboss", "io.netty"};

  private LogSetup() {}

  /** Replaces the logging handlers of this process. */
  public static void install() {
    Logger root = Logger.getLogger("");
    for (Handler h : root.getHandlers()) {
      root.removeHandler(h);
    }
    var console = new ConsoleHandler();
    console.setFormatter(new KeyValueFormatter());
    console.setLevel(Level.ALL);
    root.addHandler(console);
    for (String name : QUIETED_LOGGERS) {
      Logger.getLogger(name).setLevel(Level.SEVERE);
    }
  }

  /** Formats a record as time, level and the event's own pairs. Stateless. */
  private static final class KeyValueFormatter extends Formatter {
    @Override
    public String format(LogRecord r) {
      String message = formatMessage(r);
      String pairs =
          message.startsWith("event=")
              ? message
              : Event.named("log")
                  .with("logger", String.valueOf(r.getLoggerName()))
                  .with("message", message)
                  .toString();
      String cause = r.getThrown() == null ? "" : " cause=" + quote(r.getThrown());
      return "time="
          + Instant.ofEpochMilli(r.getMillis())
          + " level="
          + r.getLevel()
          + " "
          + pairs
          + cause
          + "\n";
    }

    private static String quote(Throwable t) {
      return Event.named("x")
          .with("cause", t.toString())
          .toString()
          .substring("event=x cause=".length());
    }
  }
}
