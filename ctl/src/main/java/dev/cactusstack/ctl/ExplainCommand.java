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
   * Reads logs and explains.
   *
   * @param files log files; standard input if there are none
   * @param in standard input
   * @return the request's life, one line for each event
   * @throws IOException if a file can't be read
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
          "no line of request " + id + " in " + lineCount + " lines", "give the logs of all hosts");
    }
    return CommandResult.succeeded(timeline());
  }

  /** Keeps the lines that may matter, unparsed, so that large logs fit into a small heap. */
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
      } else if (line.contains(" event=configuration ") || line.contains(" event=upstream ")) {
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
      if (l.is("sent")) {
        upstreams.add(l.field("upstream"));
        String placementKey = " asker=" + l.host().hashCode() + " ask=" + l.field("ask") + ' ';
        // A host that starts again numbers its asks from the start.
        decisions.stream()
            .filter(d -> d.line().contains(placementKey))
            .flatMap(d -> d.parse().stream())
            .filter(d -> d.time().isAfter(first.minus(MAX_CLOCK_SKEW)))
            .filter(d -> d.time().isBefore(last.plus(MAX_CLOCK_SKEW)))
            .forEach(relevant::add);
      }
    }
    Map<String, LogLine> knownStates = lastKnownStates(relevant, upstreams, first);
    return Stream.concat(relevant.stream(), knownStates.values().stream())
        .sorted(Comparator.comparing(LogLine::time).thenComparing(LogLine::sequence))
        .map(l -> (relevant.contains(l) ? "" : "believed ") + "host=" + l.host() + " " + l.text())
        .toList();
  }

  /** Finds the last that each host had heard of the configuration and of the upstreams. */
  private Map<String, LogLine> lastKnownStates(Set<LogLine> relevant, Set<String> upstreams, Instant first) {
    Set<String> hosts = new HashSet<>();
    relevant.forEach(l -> hosts.add(l.host()));
    Map<String, LogLine> latest = new HashMap<>();
    for (UnparsedLine k : stateChanges) {
      k.parse()
          .filter(l -> l.is("configuration") || upstreams.contains(l.field("id")))
          .filter(l -> hosts.contains(l.host()) && !l.time().isAfter(first))
          .ifPresent(l -> latest.put(l.host() + l.field("event") + l.field("id"), l));
    }
    return latest;
  }

  /** A line that may matter. */
  private record UnparsedLine(String line, String host, long order) {
    Optional<LogLine> parse() {
      return LogLine.parse(line, host, order);
    }
  }
}
