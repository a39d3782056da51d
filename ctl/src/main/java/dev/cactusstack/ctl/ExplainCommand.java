package dev.cactusstack.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Tells the life of one request from hosts' logs: its own events, the decisions of the hosts that
 * scheduled it, and what these believed of configuration and upstreams. Confined to one thread.
 */
final class ExplainCommand {
  private static final Duration CLOCKS_APART = Duration.ofSeconds(2);

  private final List<Kept> decisions = new ArrayList<>();
  private final List<Kept> news = new ArrayList<>();
  private final List<LogLine> own = new ArrayList<>();
  private final String id;
  private long lines;

  ExplainCommand(String id) {
    this.id = id;
  }

  /**
   * Reads logs and explains.
   *
   * @param files log files; standard input if there are none
   * @param in standard input
   * @return the request's life, one line for each event
   * @throws IOException if a file can't be read
   */
  CommandEnd run(List<Path> files, InputStream in) throws IOException {
    if (files.isEmpty()) {
      read(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)), "input");
    }
    for (Path f : files) {
      try (BufferedReader r = Files.newBufferedReader(f, StandardCharsets.UTF_8)) {
        read(r, String.valueOf(f.getFileName()));
      }
    }
    if (own.isEmpty()) {
      return CommandEnd.invalid(
          "no line of request " + id + " in " + lines + " lines", "give the logs of all hosts");
    }
    return CommandEnd.done(tell());
  }

  /** Keeps the lines that may matter, unparsed, so that large logs fit into a small heap. */
  private void read(BufferedReader r, String file) throws IOException {
    String host = file;
    for (String line = r.readLine(); line != null; line = r.readLine()) {
      lines++;
      if (line.contains(" event=started ")) {
        host = LogLine.parse(line, host, lines).map(l -> l.field("host")).orElse(host);
      } else if (line.contains(" id=" + id + " ") || line.endsWith(" id=" + id)) {
        LogLine.parse(line, host, lines).ifPresent(own::add);
      } else if (line.contains(" event=decided ")) {
        decisions.add(new Kept(line, host, lines));
      } else if (line.contains(" event=configuration ") || line.contains(" event=upstream ")) {
        news.add(new Kept(line, host, lines));
      }
    }
  }

  private List<String> tell() {
    Instant first = own.get(0).time();
    Instant last = own.get(own.size() - 1).time();
    Set<LogLine> told = new HashSet<>(own);
    Set<String> upstreams = new HashSet<>();
    for (LogLine l : own) {
      if (l.is("sent")) {
        upstreams.add(l.field("upstream"));
        String ask = " asker=" + l.host().hashCode() + " ask=" + l.field("ask") + ' ';
        // A host that starts again numbers its asks from the start.
        decisions.stream()
            .filter(d -> d.line().contains(ask))
            .flatMap(d -> d.parse().stream())
            .filter(d -> d.time().isAfter(first.minus(CLOCKS_APART)))
            .filter(d -> d.time().isBefore(last.plus(CLOCKS_APART)))
            .forEach(told::add);
      }
    }
    Map<String, LogLine> believed = believed(told, upstreams, first);
    return Stream.concat(told.stream(), believed.values().stream())
        .sorted(Comparator.comparing(LogLine::time).thenComparing(LogLine::order))
        .map(l -> (told.contains(l) ? "" : "believed ") + "host=" + l.host() + " " + l.text())
        .toList();
  }

  /** Finds the last that each host had heard of the configuration and of the upstreams. */
  private Map<String, LogLine> believed(Set<LogLine> told, Set<String> upstreams, Instant first) {
    Set<String> hosts = new HashSet<>();
    told.forEach(l -> hosts.add(l.host()));
    Map<String, LogLine> out = new HashMap<>();
    for (Kept k : news) {
      k.parse()
          .filter(l -> l.is("configuration") || upstreams.contains(l.field("id")))
          .filter(l -> hosts.contains(l.host()) && !l.time().isAfter(first))
          .ifPresent(l -> out.put(l.host() + l.field("event") + l.field("id"), l));
    }
    return out;
  }

  /** A line that may matter. */
  private record Kept(String line, String host, long order) {
    Optional<LogLine> parse() {
      return LogLine.parse(line, host, order);
    }
  }
}
