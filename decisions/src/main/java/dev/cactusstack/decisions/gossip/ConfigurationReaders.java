package dev.cactusstack.decisions.gossip;

import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the hosts that read the configuration from the store; the others receive changes from
 * them. Each data centre has its own readers, so that it still gets changes when it is partitioned
 * from the others. Immutable and thread-safe.
 *
 * <p>Every host ranks all others in each gossip round, also a small one that has just started. The
 * ranking therefore scores each host once, in plain loops.
 *
 * @param readersPerDataCentre number of readers in each data centre
 */
public record ConfigurationReaders(int readersPerDataCentre) {
  private static final String RANKING_KEY = "configuration";

  /**
   * Ranks hosts.
   *
   * @param candidates hosts that are known to be alive and to reach the store
   * @return the ranking
   */
  public Ranking rank(Collection<HostRegistration> candidates) {
    Map<String, List<RankedHost>> byDataCentre = new HashMap<>();
    for (HostRegistration candidate : candidates) {
      insert(
          byDataCentre.computeIfAbsent(candidate.dataCentre(), d -> new ArrayList<>()),
          RankedHost.of(candidate));
    }
    return new Ranking(byDataCentre, readersPerDataCentre);
  }

  /**
   * Inserts a host into a list that holds the highest-ranked hosts of a data centre, best first.
   */
  private void insert(List<RankedHost> readers, RankedHost host) {
    int at = readers.size();
    while (at > 0 && host.precedes(readers.get(at - 1))) {
      at--;
    }
    if (at < readersPerDataCentre) {
      readers.add(at, host);
    }
    if (readers.size() > readersPerDataCentre) {
      readers.remove(readers.size() - 1);
    }
  }

  /**
   * Returns the readers.
   *
   * @param candidates hosts that are known to be alive and to reach the store
   * @return the readers of all data centres
   */
  public List<HostRegistration> readers(Collection<HostRegistration> candidates) {
    return rank(candidates).readers();
  }

  /**
   * Checks whether a host is a reader.
   *
   * @param host the host
   * @param candidates hosts that are known to be alive and to reach the store
   * @return true if it is a reader, even if it does not reach the store itself
   */
  public boolean isReader(HostRegistration host, Collection<HostRegistration> candidates) {
    return rank(candidates).isReader(host);
  }

  /** A host with its score, which is the same on all hosts. */
  private record RankedHost(HostRegistration host, long score) {
    static RankedHost of(HostRegistration host) {
      return new RankedHost(host, RendezvousHash.score(RANKING_KEY, host.name()));
    }

    boolean precedes(RankedHost other) {
      return score != other.score
          ? score > other.score
          : host.name().compareTo(other.host.name()) > 0;
    }
  }

  /** The readers among the hosts of one moment. Confined to one thread. */
  public static final class Ranking {
    private final Map<String, List<RankedHost>> byDataCentre;
    private final int readersPerDataCentre;

    private Ranking(Map<String, List<RankedHost>> byDataCentre, int readersPerDataCentre) {
      this.byDataCentre = byDataCentre;
      this.readersPerDataCentre = readersPerDataCentre;
    }

    /**
     * Returns the readers.
     *
     * @return the readers of all data centres
     */
    public List<HostRegistration> readers() {
      List<HostRegistration> readers = new ArrayList<>();
      for (List<RankedHost> local : byDataCentre.values()) {
        for (RankedHost ranked : local) {
          readers.add(ranked.host);
        }
      }
      return readers;
    }

    /**
     * Checks whether a host is a reader.
     *
     * @param host the host, which need not be one of the ranked hosts
     * @return true if it is a reader, even if it does not reach the store itself
     */
    public boolean isReader(HostRegistration host) {
      List<RankedHost> local = byDataCentre.get(host.dataCentre());
      if (local == null || local.size() < readersPerDataCentre) {
        return true;
      }
      return !local.get(local.size() - 1).precedes(RankedHost.of(host));
    }
  }
}
