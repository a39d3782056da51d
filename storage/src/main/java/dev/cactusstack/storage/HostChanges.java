package dev.cactusstack.storage;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.ListedHost;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Changes of the host list. Immutable and thread-safe.
 *
 * @param revision the revision of the list after the changes
 * @param fullSnapshot whether the changes contain the whole list, so that missing hosts were
 *     removed
 * @param addedOrUpdated hosts that were added or whose entry changed
 * @param removed addresses that were removed from the list
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
   * @param before the hosts before the changes, by address
   * @return the hosts after the changes, by address
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
