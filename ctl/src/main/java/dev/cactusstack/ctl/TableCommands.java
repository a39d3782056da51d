package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.ctl.OperatorsApi.Answer;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.ServiceName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The commands on the table. Stateless but for the hosts they talk to. */
final class TableCommands {
  private final OperatorsApi api;
  private final EditOptions options;

  TableCommands(OperatorsApi api, EditOptions options) {
    this.api = api;
    this.options = options;
  }

  CommandEnd show(String format) {
    Optional<TableFormat> f = TableFormat.ofLabel(format);
    if (f.isEmpty()) {
      return CommandEnd.invalid("--format=" + format + " is not known", "use text, json or csv");
    }
    Answer a = api.get("/v1/table");
    return Replies.fault(a)
        .orElseGet(
            () -> CommandEnd.done(f.get().render(a.body().path("version").asLong(), rows(a))));
  }

  private static List<TableRow> rows(Answer a) {
    var rows = new ArrayList<TableRow>();
    a.body().path("rows").forEach(n -> TableRow.parse(n).map(rows::add));
    return rows;
  }

  CommandEnd set(String service, String dataCentre, List<String> assignments) {
    if (assignments.isEmpty()) {
      return CommandEnd.invalid("no value is given", "add weight=N, limit=N or upstream_limit=N");
    }
    Result<ObjectNode> edit =
        ServiceName.parse(service)
            .flatMap(s -> DataCentre.parse(dataCentre))
            .flatMap(d -> values(assignments))
            .map(
                v -> {
                  ObjectNode n =
                      Json.newObject().put("service", service).put("data_centre", dataCentre);
                  n.set("values", v);
                  options.ifVersion().ifPresent(i -> n.put("if_version", i));
                  return n;
                });
    return edit.fold(
        p -> CommandEnd.invalid(p.message(), p.remedy()),
        n -> {
          ObjectNode body = Json.newObject();
          body.putArray("edits").add(n);
          return post(body);
        });
  }

  private static Result<ObjectNode> values(List<String> assignments) {
    ObjectNode values = Json.newObject();
    for (String a : assignments) {
      String[] parts = a.split("=", 2);
      Optional<RouteColumn> column = RouteColumn.ofLabel(parts[0]);
      if (column.isEmpty() || parts.length != 2) {
        return Result.failure(
            Problem.invalid(
                "'" + a + "' is not an assignment", "write weight=N, limit=N or upstream_limit=N"));
      }
      Result<Integer> v = column.get().parse(parts[1]);
      if (v instanceof Result.Failure<Integer> f) {
        return Result.failure(f.problem());
      }
      v.map(n -> values.put(parts[0], n));
    }
    return Result.success(values);
  }

  CommandEnd apply(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return CommandEnd.invalid(
          "cannot read " + file + ": " + e.getMessage(), "name a readable file");
    }
    Result<List<TableRow>> parsed = TableFile.parse(text);
    if (parsed instanceof Result.Failure<List<TableRow>> f) {
      return CommandEnd.invalid(f.problem().message(), f.problem().remedy());
    }
    Answer a = api.get("/v1/table");
    Optional<CommandEnd> fault = Replies.fault(a);
    if (fault.isPresent()) {
      return fault.get();
    }
    return parsed
        .flatMap(rows -> TableFile.changed(rows, rows(a)))
        .fold(
            p -> CommandEnd.invalid(p.message(), p.remedy()),
            changed -> applyRows(changed, a.body().path("version").asLong()));
  }

  private CommandEnd applyRows(List<TableRow> changed, long version) {
    if (changed.isEmpty()) {
      return CommandEnd.done(
          List.of("outcome=accepted version=" + version + " note=\"the file changes nothing\""));
    }
    ObjectNode body = Json.newObject();
    ArrayNode edits = body.putArray("edits");
    changed.forEach(r -> edits.add(r.edit()));
    options.ifVersion().ifPresent(v -> body.put("if_version", v));
    return post(body);
  }

  private CommandEnd post(ObjectNode body) {
    body.put("operation", options.operation());
    return Replies.edit(api.post("/v1/edits", body));
  }

  CommandEnd moveDataCentre(String name, boolean out) {
    Result<DataCentre> parsed = DataCentre.parse(name);
    if (parsed instanceof Result.Failure<DataCentre> f) {
      return CommandEnd.invalid(f.problem().message(), f.problem().remedy());
    }
    JsonNode body =
        Json.newObject()
            .put("out", out)
            .put("force", options.force())
            .put("operation", options.operation());
    return Replies.edit(api.post("/v1/data-centres/" + name, body));
  }
}
