package dev.cactusstack.storage;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.ListedHost;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What changed in the host list. Immutable and thread-safe.
 *
 * @param revision the revision that the changes lead to
 * @param whole whether the changes are the whole list, so that hosts left out are gone
 * @param listed hosts that are new or have another entry
 * @param removed addresses that are no longer listed
 */
public record HostChanges(
    long revision, boolean whole, List<ListedHost> listed, List<Address> removed) {

  /** Copies the lists. */
  public HostChanges {
    listed = List.copyOf(listed);
    removed = List.copyOf(removed);
  }

  /**
   * Applies the changes.
   *
   * @param before the hosts known before, by address
   * @return the hosts known now, by address
   */
  public Map<Address, ListedHost> applyTo(Map<Address, ListedHost> before) {
    var after = new TreeMap<Address, ListedHost>();
    if (!whole) {
      after.putAll(before);
    }
    removed.forEach(after::remove);
    listed.forEach(h -> after.put(h.address(), h));
    return after;
  }
}
