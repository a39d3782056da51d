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
 * Reconstructs the history of one request from host logs: its own events, the scheduling decisions
 * for it, and the last known configuration and upstream states on the hosts involved. Confined to
 * one thread.
 */
final class ExplainCommand {
  private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(2);

  private final List<UnparsedLine> decisions = new ArrayList<>();
  private final List<UnparsedLine> stateChanges = new ArrayList<>();
  private final List<LogLine> requestEvents = new ArrayList<>();
  private final String id;
  private long lineCount;

  ExplainCommand(String id) {
    this.id = id;
  }

  /**
   * Reads the logs and returns the history of the request.
   *
   * @param files log files; if empty, standard input is read
   * @param in standard input
   * @return the history of the request, one line per event
   * @throws IOException if a file cannot be read
   */
  CommandResult run(List<Path> files, InputStream in) throws IOException {
    if (files.isEmpty()) {
      read(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)), "input");
    }
    for (Path f : files) {
      try (BufferedReader r = Files.newBufferedReader(f, StandardCharsets.UTF_8)) {
        read(r, String.valueOf(f.getFileName()));
      }
    }
    if (requestEvents.isEmpty()) {
      return CommandResult.invalid(
          "no line of request " + id + " in " + lineCount + " lines", "pass the logs of all hosts");
    }
    return CommandResult.succeeded(timeline());
  }

  /** Keeps the lines that may be relevant, unparsed, so that large logs fit into a small heap. */
  private void read(BufferedReader r, String file) throws IOException {
    String host = file;
    for (String line = r.readLine(); line != null; line = r.readLine()) {
      lineCount++;
      if (line.contains(" event=started ")) {
        host = LogLine.parse(line, host, lineCount).map(l -> l.field("host")).orElse(host);
      } else if (line.contains(" id=" + id + " ") || line.endsWith(" id=" + id)) {
        LogLine.parse(line, host, lineCount).ifPresent(requestEvents::add);
      } else if (line.contains(" event=decided ")) {
        decisions.add(new UnparsedLine(line, host, lineCount));
      } else if (line.contains(" event=configuration ")
          || line.contains(" event=upstream ")
          || line.contains(" event=upstream_notice ")) {
        stateChanges.add(new UnparsedLine(line, host, lineCount));
      }
    }
  }

  private List<String> timeline() {
    Instant first = requestEvents.get(0).time();
    Instant last = requestEvents.get(requestEvents.size() - 1).time();
    Set<LogLine> relevant = new HashSet<>(requestEvents);
    Set<String> upstreams = new HashSet<>();
    for (LogLine l : requestEvents) {
      if (l.is("sent") || l.is("upstream_declined")) {
        upstreams.add(l.field("upstream"));
      }
      if (l.is("sent")) {
        String placementKey = " asker=" + l.host().hashCode() + " ask=" + l.field("ask") + ' ';
        // A restarted host numbers its placement requests from the start, so numbers can repeat.
        decisions.stream()
            .filter(d -> d.line().contains(placementKey))
            .flatMap(d -> d.parse().stream())
            .filter(d -> d.time().isAfter(first.minus(MAX_CLOCK_SKEW)))
            .filter(d -> d.time().isBefore(last.plus(MAX_CLOCK_SKEW)))
            .forEach(relevant::add);
      }
    }
    Map<String, LogLine> knownStates = lastKnownStates(relevant, upstreams, first);
    Stream<String> lines =
        Stream.concat(relevant.stream(), knownStates.values().stream())
            .sorted(Comparator.comparing(LogLine::time).thenComparing(LogLine::sequence))
            .map(
                l ->
                    (relevant.contains(l) ? "" : "believed ")
                        + "host="
                        + l.host()
                        + " "
                        + l.text());
    Stream<String> causes =
        requestEvents.stream().flatMap(event -> RefusalCause.of(event).stream());
    return Stream.concat(lines, causes).toList();
  }

  /**
   * Finds the last configuration and upstream states logged by each host before the request, and
   * what upstreams last said about themselves to each host.
   */
  private Map<String, LogLine> lastKnownStates(
      Set<LogLine> relevant, Set<String> upstreams, Instant first) {
    Set<String> hosts = new HashSet<>();
    relevant.forEach(l -> hosts.add(l.host()));
    Map<String, LogLine> latest = new HashMap<>();
    for (UnparsedLine k : stateChanges) {
      k.parse()
          .filter(l -> l.is("configuration") || upstreams.contains(upstream(l)))
          .filter(l -> hosts.contains(l.host()) && !l.time().isAfter(first))
          .ifPresent(l -> latest.put(stateKey(l), l));
    }
    return latest;
  }

  private static String upstream(LogLine l) {
    return l.field(l.is("upstream_notice") ? "upstream" : "id");
  }

  private static String stateKey(LogLine l) {
    return l.host() + l.field("event") + l.field("says") + upstream(l);
  }

  /** A line that may be relevant. */
  private record UnparsedLine(String line, String host, long sequence) {
    Optional<LogLine> parse() {
      return LogLine.parse(line, host, sequence);
    }
  }
}
