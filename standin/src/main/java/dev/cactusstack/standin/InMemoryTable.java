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
 * Holds the rows of the platform's table service, with compare-and-set transactions.
 *
 * <p>Invariant: each committed transaction raises the revision by one, and every row it wrote has
 * that revision as its version. Thread-safe.
 */
final class InMemoryTable {
  private static final long NO_EXPIRY_MS = Long.MAX_VALUE;

  /** A row; {@code expires_in_ms} in its value sets its expiry. */
  private record Row(long version, JsonNode value, long expiresAtMs) {}

  private final Map<String, Row> rows = new TreeMap<>();
  private long revision;

  synchronized OptionalLong commit(JsonNode transaction) {
    for (JsonNode c : transaction.path("checks")) {
      Row row = findUnexpired(c.path("key").asText());
      long version = row == null ? 0 : row.version;
      if (version != c.path("version").asLong()) {
        return OptionalLong.empty();
      }
    }
    revision++;
    for (JsonNode w : transaction.path("writes")) {
      JsonNode value = w.path("value");
      JsonNode expiry = value.path("expires_in_ms");
      long rowExpiryMs =
          expiry.isMissingNode() ? NO_EXPIRY_MS : System.currentTimeMillis() + expiry.asLong();
      rows.put(w.path("key").asText(), new Row(revision, value, rowExpiryMs));
    }
    return OptionalLong.of(revision);
  }

  private @Nullable Row findUnexpired(String key) {
    Row row = rows.get(key);
    return row != null && row.expiresAtMs > System.currentTimeMillis() ? row : null;
  }

  /** Returns the row with the given key, or an empty object when there is none. */
  synchronized ObjectNode row(String key) {
    Row row = findUnexpired(key);
    ObjectNode n = Json.newObject();
    if (row != null) {
      n.put("key", key).put("version", row.version).set("value", row.value);
    }
    return n;
  }

  synchronized ObjectNode changesAfter(long after) {
    ObjectNode page = Json.newObject().put("revision", revision);
    ArrayNode changedRows = page.putArray("rows");
    rows.forEach(
        (key, row) -> {
          if (row.version > after) {
            changedRows
                .addObject()
                .put("key", key)
                .put("version", row.version)
                .set("value", row.value);
          }
        });
    return page;
  }
}
