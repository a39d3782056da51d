package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.RouteKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reads a table that an operator has edited, in the form that {@code table show} printed as CSV or
 * JSON. Stateless.
 */
final class TableFile {
  private TableFile() {}

  static Result<List<TableRow>> parse(String text) {
    boolean json = text.stripLeading().startsWith("{");
    return (json ? json(text) : csv(text)).flatMap(TableFile::rows).flatMap(TableFile::requireDistinctRows);
  }

  private static Result<ArrayNode> json(String text) {
    Optional<JsonNode> n = Json.parse(text.getBytes(StandardCharsets.UTF_8));
    return n.map(x -> x.path("rows"))
        .filter(JsonNode::isArray)
        .map(x -> Result.success((ArrayNode) x))
        .orElseGet(
            () ->
                Result.failure(
                    Problem.invalid(
                        "the file is not a table in JSON",
                        "start from 'table show --format json'")));
  }

  private static Result<ArrayNode> csv(String text) {
    List<String> lines = text.lines().map(String::strip).filter(l -> !l.isEmpty()).toList();
    List<String> header = TableFormat.header();
    if (lines.isEmpty() || !lines.get(0).equals(String.join(",", header))) {
      return Result.failure(
          Problem.invalid(
              "the file's first line is not the header",
              "start from 'table show --format csv'; its header is " + String.join(",", header)));
    }
    ArrayNode rows = Json.newObject().putArray("rows");
    for (int i = 1; i < lines.size(); i++) {
      String[] cells = lines.get(i).split(",", -1);
      if (cells.length != header.size()) {
        return Result.failure(
            Problem.invalid(
                "line " + (i + 1) + " has " + cells.length + " cells",
                "give " + header.size() + " cells in each line"));
      }
      ObjectNode row = rows.addObject();
      for (int c = 0; c < cells.length; c++) {
        row.put(header.get(c), cells[c].strip());
      }
    }
    return Result.success(rows);
  }

  private static Result<List<TableRow>> rows(ArrayNode list) {
    var rows = new ArrayList<TableRow>();
    for (JsonNode n : list) {
      Result<TableRow> row = TableRow.parse(n);
      if (row instanceof Result.Failure<TableRow> f) {
        return Result.failure(f.problem());
      }
      row.map(rows::add);
    }
    return Result.success(rows);
  }

  private static Result<List<TableRow>> requireDistinctRows(List<TableRow> rows) {
    Set<RouteKey> seen = new HashSet<>();
    for (TableRow r : rows) {
      if (!seen.add(r.key())) {
        return Result.failure(
            Problem.invalid(
                "row " + r.key() + " stands twice",
                "keep one line for each service and data centre"));
      }
    }
    return Result.success(rows);
  }

  /** The rows that differ from the table; every row of the table must be in the file. */
  static Result<List<TableRow>> changedRows(List<TableRow> file, List<TableRow> table) {
    for (TableRow t : table) {
      if (file.stream().noneMatch(f -> f.key().equals(t.key()))) {
        return Result.failure(
            Problem.invalid(
                "row " + t.key() + " is missing", "give every row that 'table show' lists"));
      }
    }
    return Result.success(
        file.stream()
            .filter(
                f ->
                    table.stream()
                        .noneMatch(t -> t.key().equals(f.key()) && t.values().equals(f.values())))
            .toList());
  }
}
