package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The rows of the platform's table service with compare-and-set transactions.
 *
 * <p>Invariant: each committed transaction raises the revision by one, and every row it wrote has
 * that revision as its version. Thread-safe.
 */
final class TableState {
  private record Row(long version, JsonNode value) {}

  private final Map<String, Row> rows = new TreeMap<>();
  private long revision;

  synchronized OptionalLong commit(JsonNode transaction) {
    for (JsonNode c : transaction.path("checks")) {
      Row row = rows.get(c.path("key").asText());
      long version = row == null ? 0 : row.version;
      if (version != c.path("version").asLong()) {
        return OptionalLong.empty();
      }
    }
    revision++;
    for (JsonNode w : transaction.path("writes")) {
      rows.put(w.path("key").asText(), new Row(revision, w.path("value")));
    }
    return OptionalLong.of(revision);
  }

  synchronized ObjectNode changesAfter(long after) {
    ObjectNode page = Json.object().put("revision", revision);
    ArrayNode list = page.putArray("rows");
    rows.forEach(
        (key, row) -> {
          if (row.version > after) {
            list.addObject().put("key", key).put("version", row.version).set("value", row.value);
          }
        });
    return page;
  }
}
