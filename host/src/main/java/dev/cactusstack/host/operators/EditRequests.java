package dev.cactusstack.host.operators;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.decisions.recovery.DataCentrePlan;
import dev.cactusstack.decisions.recovery.EditPlan;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Edit;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.UUID;

/** Parses operators' changes. Stateless and thread-safe. */
final class EditRequests {
  private static final int MAX_OPERATION_LENGTH = 64;

  private EditRequests() {}

  static Result<EditPlan> edits(byte[] body) {
    return json(body)
        .flatMap(
            n ->
                operation(n)
                    .flatMap(
                        op ->
                            list(n)
                                .flatMap(
                                    edits -> version(n).map(v -> new EditPlan(op, edits, v)))));
  }

  static Result<DataCentrePlan> dataCentre(String name, byte[] body) {
    return json(body)
        .flatMap(
            n -> {
              if (!n.path("out").isBoolean()) {
                return Result.failure(
                    Problem.invalid(
                        "'out' is missing", "send {\"out\": true} or {\"out\": false}"));
              }
              boolean force = n.path("force").asBoolean();
              return operation(n)
                  .flatMap(
                      op ->
                          DataCentre.parse(name)
                              .map(
                                  d ->
                                      new DataCentrePlan(op, d, n.path("out").asBoolean(), force)));
            });
  }

  private static Result<JsonNode> json(byte[] body) {
    Optional<JsonNode> n = Json.parse(body).filter(JsonNode::isObject);
    return n.map(Result::success)
        .orElseGet(
            () -> Result.failure(Problem.invalid("the body is not a JSON object", "send one")));
  }

  private static Result<String> operation(JsonNode n) {
    String op = n.path("operation").asText("");
    if (op.isEmpty()) {
      return Result.success(UUID.randomUUID().toString());
    }
    return op.length() <= MAX_OPERATION_LENGTH && op.chars().allMatch(c -> c > ' ' && c < 0x7f)
        ? Result.success(op)
        : Result.failure(
            Problem.invalid(
                "the operation id is not acceptable", "use up to 64 printable characters"));
  }

  private static Result<OptionalLong> version(JsonNode n) {
    JsonNode v = n.path("if_version");
    if (v.isMissingNode() || v.isNull()) {
      return Result.success(OptionalLong.empty());
    }
    return v.isIntegralNumber()
        ? Result.success(OptionalLong.of(v.asLong()))
        : Result.failure(
            Problem.invalid("if_version=" + v + " is not accepted", "give a whole number"));
  }

  private static Result<List<Edit>> list(JsonNode n) {
    Result<List<Edit>> edits = Result.success(new ArrayList<>());
    for (JsonNode e : n.path("edits")) {
      edits = edits.flatMap(done -> edit(e).map(x -> plus(done, x)));
    }
    return edits;
  }

  private static List<Edit> plus(List<Edit> list, Edit e) {
    var longer = new ArrayList<>(list);
    longer.add(e);
    return longer;
  }

  private static Result<Edit> edit(JsonNode n) {
    return ServiceName.parse(n.path("service").asText())
        .flatMap(s -> DataCentre.parse(n.path("data_centre").asText()).map(d -> new RouteKey(s, d)))
        .flatMap(
            k -> values(n.path("values")).flatMap(v -> version(n).map(i -> new Edit(k, v, i))));
  }

  private static Result<TreeMap<RouteColumn, Integer>> values(JsonNode n) {
    Result<TreeMap<RouteColumn, Integer>> values = Result.success(new TreeMap<>());
    Iterator<Map.Entry<String, JsonNode>> fields = n.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> f = fields.next();
      Result<RouteColumn> column =
          RouteColumn.ofLabel(f.getKey())
              .map(Result::success)
              .orElseGet(() -> Result.failure(unknownColumn(f.getKey())));
      values =
          values.flatMap(
              done ->
                  column.flatMap(
                      c ->
                          c.parse(f.getValue().asText())
                              .map(
                                  v -> {
                                    var more = new TreeMap<>(done);
                                    more.put(c, v);
                                    return more;
                                  })));
    }
    return values;
  }

  private static Problem unknownColumn(String name) {
    return Problem.invalid(
        "there is no column '" + name + "'", "use weight, limit or upstream_limit");
  }
}
