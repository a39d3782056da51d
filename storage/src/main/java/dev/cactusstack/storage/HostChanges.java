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
 * @param fullSnapshot whether the changes are the whole list, so that hosts left out are gone
 * @param addedOrUpdated hosts that are new or have another entry
 * @param removed addresses that are no longer listed
 */
public record HostChanges(
    long revision, boolean fullSnapshot, List<ListedHost> addedOrUpdated, List<Address> removed) {

  /** Copies the lists. */
  public HostChanges {
    addedOrUpdated = List.copyOf(addedOrUpdated);
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
    if (!fullSnapshot) {
      after.putAll(before);
    }
    removed.forEach(after::remove);
    addedOrUpdated.forEach(h -> after.put(h.address(), h));
    return after;
  }
}
