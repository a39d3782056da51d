package dev.cactusstack.decisions.directory;

import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the hosts that are returned to a caller. Callers choose among them at random, so all of
 * them are in the caller's data centre if there are enough usable hosts there. Otherwise hosts of
 * other data centres make up the difference. Immutable and thread-safe.
 *
 * @param minHosts number of hosts that a caller needs to tolerate the loss of some
 * @param maxHosts maximum number of hosts to return
 */
public record DirectoryPolicy(int minHosts, int maxHosts) {
  /**
   * Selects hosts for a caller.
   *
   * @param usable hosts that are alive and not leaving
   * @param dataCentre the caller's data centre
   * @param random source of randomness, to spread callers over hosts
   * @return the selected hosts, those of the caller's data centre first; empty only if no host is
   *     usable
   */
  public List<HostRegistration> choose(
      List<HostRegistration> usable, String dataCentre, RandomGenerator random) {
    List<HostRegistration> local = new ArrayList<>();
    List<HostRegistration> remote = new ArrayList<>();
    for (HostRegistration host : usable) {
      (host.dataCentre().equals(dataCentre) ? local : remote).add(host);
    }
    shuffle(local, random);
    shuffle(remote, random);
    int missing = Math.max(0, minHosts - local.size());
    List<HostRegistration> chosen =
        new ArrayList<>(local.subList(0, Math.min(maxHosts, local.size())));
    chosen.addAll(remote.subList(0, Math.min(missing, remote.size())));
    return chosen;
  }

  private static void shuffle(List<HostRegistration> hosts, RandomGenerator random) {
    for (int i = hosts.size() - 1; i > 0; i--) {
      Collections.swap(hosts, i, random.nextInt(i + 1));
    }
  }
}
