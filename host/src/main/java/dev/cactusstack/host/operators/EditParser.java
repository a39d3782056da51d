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
final class EditParser {
  private static final int MAX_OPERATION_LENGTH = 64;

  private EditParser() {}

  static Result<EditPlan> parseEdits(byte[] body) {
    return parseJson(body)
        .flatMap(
            n ->
                parseOperation(n)
                    .flatMap(
                        op ->
                            parseEditList(n)
                                .flatMap(
                                    edits -> parseVersion(n).map(v -> new EditPlan(op, edits, v)))));
  }

  static Result<DataCentrePlan> parseDataCentrePlan(String name, byte[] body) {
    return parseJson(body)
        .flatMap(
            n -> {
              if (!n.path("out").isBoolean()) {
                return Result.failure(
                    Problem.invalid(
                        "'out' is missing", "send {\"out\": true} or {\"out\": false}"));
              }
              boolean force = n.path("force").asBoolean();
              return parseOperation(n)
                  .flatMap(
                      op ->
                          DataCentre.parse(name)
                              .map(
                                  d ->
                                      new DataCentrePlan(op, d, n.path("out").asBoolean(), force)));
            });
  }

  private static Result<JsonNode> parseJson(byte[] body) {
    Optional<JsonNode> n = Json.parse(body).filter(JsonNode::isObject);
    return n.map(Result::success)
        .orElseGet(
            () -> Result.failure(Problem.invalid("the body is not a JSON object", "send one")));
  }

  private static Result<String> parseOperation(JsonNode n) {
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

  private static Result<OptionalLong> parseVersion(JsonNode n) {
    JsonNode v = n.path("if_version");
    if (v.isMissingNode() || v.isNull()) {
      return Result.success(OptionalLong.empty());
    }
    return v.isIntegralNumber()
        ? Result.success(OptionalLong.of(v.asLong()))
        : Result.failure(
            Problem.invalid("if_version=" + v + " is not accepted", "give a whole number"));
  }

  private static Result<List<Edit>> parseEditList(JsonNode n) {
    Result<List<Edit>> edits = Result.success(new ArrayList<>());
    for (JsonNode e : n.path("edits")) {
      edits = edits.flatMap(done -> parseEdit(e).map(x -> append(done, x)));
    }
    return edits;
  }

  private static List<Edit> append(List<Edit> list, Edit e) {
    var longer = new ArrayList<>(list);
    longer.add(e);
    return longer;
  }

  private static Result<Edit> parseEdit(JsonNode n) {
    return ServiceName.parse(n.path("service").asText())
        .flatMap(s -> DataCentre.parse(n.path("data_centre").asText()).map(d -> new RouteKey(s, d)))
        .flatMap(
            k -> parseValues(n.path("values")).flatMap(v -> parseVersion(n).map(i -> new Edit(k, v, i))));
  }

  private static Result<TreeMap<RouteColumn, Integer>> parseValues(JsonNode n) {
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
