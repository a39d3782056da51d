package dev.cactusstack.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells the life of one request from hosts' logs: its own events, the decisions of the hosts that
 * scheduled it, and what these believed of configuration and upstreams. Confined to one thread.
 */
final class ExplainCommand {
  private final Map<String, LogLine> beliefs = new HashMap<>();
  private final Map<String, List<LogLine>> decisions = new HashMap<>();
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
    // Twice: the first pass finds the request's asks and upstreams, the second what was believed.
    List<LogLine> all = new ArrayList<>();
    if (files.isEmpty()) {
      read(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)), "input", all);
    }
    for (Path f : files) {
      try (BufferedReader r = Files.newBufferedReader(f, StandardCharsets.UTF_8)) {
        read(r, String.valueOf(f.getFileName()), all);
      }
    }
    all.forEach(this::sort);
    if (own.isEmpty()) {
      return CommandEnd.invalid(
          "no line of request " + id + " in " + lines + " lines", "give the logs of all hosts");
    }
    return CommandEnd.done(tell(all));
  }

  private void read(BufferedReader r, String file, List<LogLine> all) throws IOException {
    String host = file;
    for (String line = r.readLine(); line != null; line = r.readLine()) {
      Optional<LogLine> l = LogLine.parse(line, host, ++lines);
      if (l.isPresent()) {
        all.add(l.get());
        host = l.get().is("started") ? l.get().field("host") : host;
      }
    }
  }

  private void sort(LogLine l) {
    if (l.field("id").equals(id) && !l.is("upstream")) {
      own.add(l);
    } else if (l.is("decided")) {
      decisions.computeIfAbsent(ask(l.field("asker"), l), k -> new ArrayList<>()).add(l);
    }
  }

  private static String ask(String asker, LogLine l) {
    return asker + "/" + l.field("ask");
  }

  private List<String> tell(List<LogLine> all) {
    Set<LogLine> told = new HashSet<>(own);
    Set<String> upstreams = new TreeSet<>();
    for (LogLine l : own) {
      if (l.is("sent")) {
        upstreams.add(l.field("upstream"));
        told.addAll(decisions.getOrDefault(ask(String.valueOf(l.host().hashCode()), l), List.of()));
      }
    }
    Set<String> hosts = new HashSet<>();
    told.forEach(l -> hosts.add(l.host()));
    String first =
        told.stream().map(l -> l.field("time")).min(Comparator.naturalOrder()).orElse("");
    for (LogLine l : all) {
      boolean before = l.field("time").compareTo(first) <= 0;
      boolean about = l.is("configuration") || upstreams.contains(l.field("id"));
      if (before && about && hosts.contains(l.host()) && !told.contains(l)) {
        beliefs.put(l.host() + l.field("event") + l.field("id"), l);
      }
    }
    told.addAll(beliefs.values());
    return told.stream()
        .sorted(Comparator.comparing((LogLine l) -> l.field("time")).thenComparing(LogLine::order))
        .map(
            l ->
                (beliefs.containsValue(l) ? "believed " : "") + "host=" + l.host() + " " + l.text())
        .toList();
  }
}
