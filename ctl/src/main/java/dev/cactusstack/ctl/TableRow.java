package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A row of the table as operators see it. Immutable and thread-safe.
 *
 * @param key the row's identity
 * @param values its values by column
 * @param version the table revision that last changed it
 */
record TableRow(RouteKey key, SortedMap<RouteColumn, Integer> values, long version) {
  TableRow {
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }

  static Result<TableRow> parse(JsonNode n) {
    return ServiceName.parse(n.path("service").asText())
        .flatMap(s -> DataCentre.parse(n.path("data_centre").asText()).map(d -> new RouteKey(s, d)))
        .flatMap(k -> values(k, n).flatMap(v -> version(k, n).map(i -> new TableRow(k, v, i))));
  }

  private static Result<SortedMap<RouteColumn, Integer>> values(RouteKey key, JsonNode n) {
    var values = new TreeMap<RouteColumn, Integer>();
    for (RouteColumn c : RouteColumn.values()) {
      Result<Integer> v = c.parse(n.path(c.label()).asText());
      if (v instanceof Result.Failure<Integer> f) {
        Problem p = f.problem();
        return Result.failure(Problem.invalid("row " + key + ": " + p.message(), p.remedy()));
      }
      v.map(x -> values.put(c, x) == null);
    }
    return Result.success(values);
  }

  private static Result<Long> version(RouteKey key, JsonNode n) {
    try {
      return Result.success(Long.parseLong(n.path("version").asText().trim()));
    } catch (NumberFormatException e) {
      return Result.failure(
          Problem.invalid(
              "row " + key + " has no version", "keep the version column that 'table show' gave"));
    }
  }

  ObjectNode toJson() {
    ObjectNode n =
        Json.newObject()
            .put("service", key.service().value())
            .put("data_centre", key.dataCentre().value());
    values.forEach((c, v) -> n.put(c.label(), v));
    return n.put("version", version);
  }

  /** The row as an edit that replaces all values, if its version is still the same. */
  ObjectNode toEdit() {
    ObjectNode n =
        Json.newObject()
            .put("service", key.service().value())
            .put("data_centre", key.dataCentre().value())
            .put("if_version", version);
    ObjectNode v = n.putObject("values");
    values.forEach((c, x) -> v.put(c.label(), x));
    return n;
  }

  @Override
  public String toString() {
    var b = new StringBuilder(key.toString());
    values.forEach((c, v) -> b.append(' ').append(c.label()).append('=').append(v));
    return b.append(" version=").append(version).toString();
  }
}
