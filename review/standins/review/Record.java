package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start, to record.txt. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void say(String format, Object... args) {
    String line = String.format(Locale.ROOT, "%8.3f s  ", now()) + String.format(format, args);
    if (out != null) {
      out.println(line);
    }
  }

  /** A line that belongs on the terminal, too. */
  static void tell(String format, Object... args) {
    say(format, args);
    System.out.println(String.format(format, args));
  }
}
