package dev.cactusstack.decisions.gossip;

import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.model.site.HostRegistration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Selects the hosts that read the configuration from the store; the others receive changes from
 * them. Each data centre has its own readers, so that it still gets changes when it is partitioned
 * from the others. Immutable and thread-safe.
 *
 * @param readersPerDataCentre number of readers in each data centre
 */
public record ConfigurationReaders(int readersPerDataCentre) {
  private static final String RANKING_KEY = "configuration";

  /**
   * Returns the readers.
   *
   * @param candidates hosts that are known to be alive and to reach the store
   * @return the readers of all data centres
   */
  public List<HostRegistration> readers(Collection<HostRegistration> candidates) {
    Map<String, List<HostRegistration>> byDataCentre =
        candidates.stream().collect(Collectors.groupingBy(HostRegistration::dataCentre));
    return byDataCentre.values().stream().flatMap(local -> topRanked(local).stream()).toList();
  }

  private List<HostRegistration> topRanked(List<HostRegistration> local) {
    List<String> names = local.stream().map(HostRegistration::name).toList();
    List<String> topRanked = RendezvousHash.ranked(RANKING_KEY, names, readersPerDataCentre);
    return local.stream().filter(host -> topRanked.contains(host.name())).toList();
  }

  /**
   * Checks whether a host is a reader.
   *
   * @param host the host
   * @param candidates hosts that are known to be alive and to reach the store
   * @return true if it is a reader, even if it does not reach the store itself
   */
  public boolean isReader(HostRegistration host, Collection<HostRegistration> candidates) {
    List<String> localNames =
        candidates.stream()
            .filter(
                candidate ->
                    candidate.dataCentre().equals(host.dataCentre())
                        && !candidate.name().equals(host.name()))
            .map(HostRegistration::name)
            .toList();
    List<String> topRanked = RendezvousHash.ranked(RANKING_KEY, localNames, readersPerDataCentre);
    if (topRanked.size() < readersPerDataCentre) {
      return true;
    }
    String lowestRanked = topRanked.get(topRanked.size() - 1);
    return RendezvousHash.first(RANKING_KEY, List.of(host.name(), lowestRanked))
        .orElseThrow()
        .equals(host.name());
  }
}
