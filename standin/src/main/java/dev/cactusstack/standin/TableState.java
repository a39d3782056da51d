package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The rows of the platform's table service with compare-and-set transactions.
 *
 * <p>Invariant: each committed transaction raises the revision by one, and every row it wrote has
 * that revision as its version. Thread-safe.
 */
final class TableState {
  private static final long NEVER = Long.MAX_VALUE;

  /** A row; {@code expires_in_ms} in its value sets when it is gone. */
  private record Row(long version, JsonNode value, long untilMs) {}

  private final Map<String, Row> rows = new TreeMap<>();
  private long revision;

  synchronized OptionalLong commit(JsonNode transaction) {
    for (JsonNode c : transaction.path("checks")) {
      Row row = live(c.path("key").asText());
      long version = row == null ? 0 : row.version;
      if (version != c.path("version").asLong()) {
        return OptionalLong.empty();
      }
    }
    revision++;
    for (JsonNode w : transaction.path("writes")) {
      JsonNode value = w.path("value");
      JsonNode expiry = value.path("expires_in_ms");
      long until = expiry.isMissingNode() ? NEVER : System.currentTimeMillis() + expiry.asLong();
      rows.put(w.path("key").asText(), new Row(revision, value, until));
    }
    return OptionalLong.of(revision);
  }

  private @Nullable Row live(String key) {
    Row row = rows.get(key);
    return row != null && row.untilMs > System.currentTimeMillis() ? row : null;
  }

  /** One row, or an empty object when there is none. */
  synchronized ObjectNode row(String key) {
    Row row = live(key);
    ObjectNode n = Json.newObject();
    if (row != null) {
      n.put("key", key).put("version", row.version).set("value", row.value);
    }
    return n;
  }

  synchronized ObjectNode changesAfter(long after) {
    ObjectNode page = Json.newObject().put("revision", revision);
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
