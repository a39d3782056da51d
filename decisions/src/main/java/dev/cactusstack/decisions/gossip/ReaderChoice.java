package dev.cactusstack.decisions.gossip;

import dev.cactusstack.decisions.routing.Rendezvous;
import dev.cactusstack.model.site.HostEntry;
import java.util.Collection;
import java.util.List;

/**
 * Which hosts follow the store's configuration, while the others hear of changes from them. Each
 * data centre has readers of its own, so that it goes on when it loses sight of the others.
 * Immutable and thread-safe.
 *
 * @param inEachDataCentre readers in each data centre
 */
public record ReaderChoice(int inEachDataCentre) {
  private static final String KEY = "configuration";

  /**
   * Tells whether a host is a reader.
   *
   * @param host the host
   * @param able hosts that are alive and reach the store, as far as is known
   * @return true when it is one, whether it reaches the store or not
   */
  public boolean reads(HostEntry host, Collection<HostEntry> able) {
    List<String> near =
        able.stream()
            .filter(e -> e.dataCentre().equals(host.dataCentre()) && !e.name().equals(host.name()))
            .map(HostEntry::name)
            .toList();
    List<String> others = Rendezvous.ranked(KEY, near, inEachDataCentre);
    if (others.size() < inEachDataCentre) {
      return true;
    }
    String last = others.get(others.size() - 1);
    return Rendezvous.first(KEY, List.of(host.name(), last)).orElseThrow().equals(host.name());
  }
}
