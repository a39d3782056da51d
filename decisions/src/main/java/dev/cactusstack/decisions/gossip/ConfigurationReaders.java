package dev.cactusstack.decisions.gossip;

import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.model.site.HostRegistration;
import java.util.Collection;
import java.util.List;

/**
 * Which hosts follow the store's configuration, while the others hear of changes from them. Each
 * data centre has readers of its own, so that it goes on when it loses sight of the others.
 * Immutable and thread-safe.
 *
 * @param readersPerDataCentre readers in each data centre
 */
public record ConfigurationReaders(int readersPerDataCentre) {
  private static final String KEY = "configuration";

  /**
   * Tells whether a host is a reader.
   *
   * @param host the host
   * @param able hosts that are alive and reach the store, as far as is known
   * @return true when it is one, whether it reaches the store or not
   */
  public boolean isReader(HostRegistration host, Collection<HostRegistration> able) {
    List<String> near =
        able.stream()
            .filter(e -> e.dataCentre().equals(host.dataCentre()) && !e.name().equals(host.name()))
            .map(HostRegistration::name)
            .toList();
    List<String> others = RendezvousHash.ranked(KEY, near, readersPerDataCentre);
    if (others.size() < readersPerDataCentre) {
      return true;
    }
    String last = others.get(others.size() - 1);
    return RendezvousHash.first(KEY, List.of(host.name(), last)).orElseThrow().equals(host.name());
  }
}
