package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.cactusstack.ctl.OperatorApiClient.ApiResponse;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The commands that show the state of the hosts. Stateless but for the hosts they talk to. */
final class StatusCommands {
  private static final long POLL_INTERVAL_MS = 250;

  private final OperatorApiClient api;

  StatusCommands(OperatorApiClient api) {
    this.api = api;
  }

  /** Prints a line for each change; ends when all hosts agree, if {@code once}. */
  CommandResult watch(boolean once, long timeoutMs, PrintStream out) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    String previousLine = "";
    while (true) {
      ApiResponse a = api.get("/v1/in-force");
      Optional<CommandResult> error = ResponseMapper.error(a);
      if (error.isPresent()) {
        return error.get();
      }
      String line = line(a.body());
      if (!line.equals(previousLine)) {
        out.println(line);
        previousLine = line;
      }
      boolean inForceEverywhere = a.body().path("in_force").asInt() == a.body().path("hosts_total").asInt();
      if (once && inForceEverywhere) {
        return CommandResult.succeeded(List.of());
      }
      if (once && System.nanoTime() > deadlineNanos) {
        return CommandResult.failed(
            ExitCode.NOT_ACCEPTED_OR_UNKNOWN,
            "not-in-force-everywhere",
            line,
            "see 'cactusctl status' for the hosts that lag; watch again or replace them");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
  }

  private static String line(JsonNode b) {
    var lagging = new ArrayList<String>();
    for (JsonNode h : b.path("hosts")) {
      if (h.path("version").asLong() < b.path("version").asLong()) {
        lagging.add(h.path("id").asText());
      }
    }
    return "version="
        + b.path("version").asLong()
        + " in_force="
        + b.path("in_force").asInt()
        + " hosts="
        + b.path("hosts_total").asInt()
        + (lagging.isEmpty() ? "" : " lagging=" + String.join(",", lagging));
  }

  CommandResult status(String format) {
    ApiResponse a = api.get("/v1/status");
    Optional<CommandResult> error = ResponseMapper.error(a);
    if (error.isPresent()) {
      return error.get();
    }
    var unreachableHosts = new ArrayList<String>();
    ArrayNode upstreams = Json.newObject().putArray("upstreams");
    for (JsonNode h : a.body().path("hosts")) {
      Optional<ApiResponse> hostResponse =
          Address.parse(h.path("operators").asText())
              .fold(p -> Optional.<ApiResponse>empty(), x -> api.get(x, "/v1/status"))
              .filter(o -> ResponseMapper.error(o).isEmpty());
      hostResponse.ifPresent(o -> o.body().path("upstreams").forEach(upstreams::add));
      if (hostResponse.isEmpty()) {
        unreachableHosts.add(h.path("id").asText());
      }
    }
    return CommandResult.succeeded(
        format.equals("json")
            ? json(a.body(), upstreams, unreachableHosts)
            : text(a.body(), upstreams, unreachableHosts));
  }

  private static List<String> json(JsonNode body, ArrayNode upstreams, List<String> unreachableHosts) {
    var n = (com.fasterxml.jackson.databind.node.ObjectNode) body;
    n.set("upstreams", upstreams);
    unreachableHosts.forEach(n.putArray("hosts_without_answer")::add);
    return List.of(n.toString());
  }

  private static List<String> text(JsonNode body, ArrayNode upstreams, List<String> unreachableHosts) {
    var lines = new ArrayList<String>();
    lines.add(
        line(body)
            + " table_service="
            + (body.path("table_service_reachable").asBoolean() ? "reachable" : "unreachable"));
    lines.add("");
    lines.addAll(
        table(
            body.path("hosts"), "id", "data_centre", "status", "version", "callers", "operators"));
    lines.add("");
    var dataCentres = new ArrayList<List<String>>();
    dataCentres.add(List.of("data_centre", "state"));
    body.path("data_centres")
        .forEach(
            d ->
                dataCentres.add(
                    List.of(
                        d.path("data_centre").asText(), d.path("out").asBoolean() ? "out" : "in")));
    lines.addAll(TextTable.align(dataCentres));
    lines.add("");
    lines.addAll(
        table(
            upstreams,
            "service",
            "data_centre",
            "address",
            "state",
            "in_flight",
            "limit",
            "latency_ms",
            "owner"));
    unreachableHosts.forEach(
        h ->
            lines.add(
                "note=\"not known: host "
                    + h
                    + " does not answer; its upstreams are not listed\""));
    return lines;
  }

  private static List<String> table(JsonNode list, String... columns) {
    var rows = new ArrayList<List<String>>();
    rows.add(List.of(columns));
    for (JsonNode n : list) {
      var cells = new ArrayList<String>();
      for (String c : columns) {
        cells.add(n.path(c).asText());
      }
      rows.add(cells);
    }
    return TextTable.align(rows);
  }
}
