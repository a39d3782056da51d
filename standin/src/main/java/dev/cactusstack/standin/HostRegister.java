package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's host list, with the revision of each change. Removed hosts are remembered, so that
 * a reader can ask for changes only. Thread-safe.
 */
final class HostRegister {
  /** An entry; a removed host has an empty one. */
  private record Listed(long revision, ObjectNode fields) {}

  private final Map<String, Listed> hosts = new TreeMap<>();
  private long revision;

  synchronized void put(String address, ObjectNode fields) {
    hosts.put(address, new Listed(++revision, fields));
  }

  synchronized void remove(String address) {
    if (hosts.containsKey(address)) {
      hosts.put(address, new Listed(++revision, Json.newObject()));
    }
  }

  synchronized ObjectNode changesAfter(long after) {
    ObjectNode page = Json.newObject().put("revision", revision).put("whole", after == 0);
    ArrayNode listed = page.putArray("hosts");
    ArrayNode removed = page.putArray("removed");
    hosts.forEach(
        (address, h) -> {
          if (h.revision > after && h.fields.isEmpty()) {
            removed.add(address);
          } else if (h.revision > after) {
            listed.addObject().put("address", address).setAll(h.fields);
          }
        });
    return page;
  }
}
