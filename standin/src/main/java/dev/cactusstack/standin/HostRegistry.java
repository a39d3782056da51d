package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's host list, with the revision of each change. Entries of removed hosts are kept, so
 * that a reader can request only the changes after a revision. Thread-safe.
 */
final class HostRegistry {
  /** A host's entry; its fields are empty after the host was removed. */
  private record HostEntry(long revision, ObjectNode fields) {}

  private final Map<String, HostEntry> hosts = new TreeMap<>();
  private long revision;

  synchronized void put(String address, ObjectNode fields) {
    hosts.put(address, new HostEntry(++revision, fields));
  }

  synchronized void remove(String address) {
    if (hosts.containsKey(address)) {
      hosts.put(address, new HostEntry(++revision, Json.newObject()));
    }
  }

  synchronized ObjectNode changesAfter(long after) {
    ObjectNode page = Json.newObject().put("revision", revision).put("whole", after == 0);
    ArrayNode changed = page.putArray("hosts");
    ArrayNode removed = page.putArray("removed");
    hosts.forEach(
        (address, h) -> {
          if (h.revision > after && h.fields.isEmpty()) {
            removed.add(address);
          } else if (h.revision > after) {
            changed.addObject().put("address", address).setAll(h.fields);
          }
        });
    return page;
  }
}
