package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.ctl.OperatorApiClient.ApiResponse;
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
  private final OperatorApiClient api;
  private final EditOptions options;

  TableCommands(OperatorApiClient api, EditOptions options) {
    this.api = api;
    this.options = options;
  }

  CommandResult show(String format) {
    Optional<TableFormat> f = TableFormat.ofLabel(format);
    if (f.isEmpty()) {
      return CommandResult.invalid("--format=" + format + " is not known", "use text, json or csv");
    }
    ApiResponse a = api.get("/v1/table");
    return ResponseMapper.error(a)
        .orElseGet(
            () -> CommandResult.succeeded(f.get().render(a.body().path("version").asLong(), rows(a))));
  }

  private static List<TableRow> rows(ApiResponse a) {
    var rows = new ArrayList<TableRow>();
    a.body().path("rows").forEach(n -> TableRow.parse(n).map(rows::add));
    return rows;
  }

  CommandResult set(String service, String dataCentre, List<String> assignments) {
    if (assignments.isEmpty()) {
      return CommandResult.invalid("no value is given", "add weight=N, limit=N or upstream_limit=N");
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
        p -> CommandResult.invalid(p.message(), p.remedy()),
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

  CommandResult apply(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return CommandResult.invalid(
          "cannot read " + file + ": " + e.getMessage(), "name a readable file");
    }
    Result<List<TableRow>> parsed = TableFile.parse(text);
    if (parsed instanceof Result.Failure<List<TableRow>> f) {
      return CommandResult.invalid(f.problem().message(), f.problem().remedy());
    }
    ApiResponse a = api.get("/v1/table");
    Optional<CommandResult> error = ResponseMapper.error(a);
    if (error.isPresent()) {
      return error.get();
    }
    return parsed
        .flatMap(rows -> TableFile.changedRows(rows, rows(a)))
        .fold(
            p -> CommandResult.invalid(p.message(), p.remedy()),
            changed -> applyRows(changed, a.body().path("version").asLong()));
  }

  private CommandResult applyRows(List<TableRow> changed, long version) {
    if (changed.isEmpty()) {
      return CommandResult.succeeded(
          List.of("outcome=accepted version=" + version + " note=\"the file changes nothing\""));
    }
    ObjectNode body = Json.newObject();
    ArrayNode edits = body.putArray("edits");
    changed.forEach(r -> edits.add(r.toEdit()));
    options.ifVersion().ifPresent(v -> body.put("if_version", v));
    return post(body);
  }

  private CommandResult post(ObjectNode body) {
    body.put("operation", options.operation());
    return ResponseMapper.editResult(api.post("/v1/edits", body));
  }

  CommandResult setEvacuated(String name, boolean evacuated) {
    Result<DataCentre> parsed = DataCentre.parse(name);
    if (parsed instanceof Result.Failure<DataCentre> f) {
      return CommandResult.invalid(f.problem().message(), f.problem().remedy());
    }
    JsonNode body =
        Json.newObject()
            .put("out", evacuated)
            .put("force", options.force())
            .put("operation", options.operation());
    return ResponseMapper.editResult(api.post("/v1/data-centres/" + name, body));
  }
}
