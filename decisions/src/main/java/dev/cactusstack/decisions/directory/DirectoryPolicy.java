package dev.cactusstack.decisions.directory;

import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the hosts that a caller is told to use. Callers pick among them at random, so all are in
 * the caller's data centre while enough hosts live there, and a few of others make up for those
 * that are missing. Immutable and thread-safe.
 *
 * @param minHosts hosts that a caller needs to survive the loss of some
 * @param maxHosts hosts that are named at most
 */
public record DirectoryPolicy(int minHosts, int maxHosts) {
  /**
   * Chooses hosts.
   *
   * @param usable hosts that are alive and not leaving
   * @param dataCentre the caller's data centre
   * @param random spreads callers over hosts
   * @return hosts of the caller's data centre first; empty only when no host is usable
   */
  public List<HostRegistration> choose(List<HostRegistration> usable, String dataCentre, RandomGenerator random) {
    List<HostRegistration> near = new ArrayList<>();
    List<HostRegistration> far = new ArrayList<>();
    for (HostRegistration e : usable) {
      (e.dataCentre().equals(dataCentre) ? near : far).add(e);
    }
    shuffle(near, random);
    shuffle(far, random);
    int missing = Math.max(0, minHosts - near.size());
    List<HostRegistration> out = new ArrayList<>(near.subList(0, Math.min(maxHosts, near.size())));
    out.addAll(far.subList(0, Math.min(missing, far.size())));
    return out;
  }

  private static void shuffle(List<HostRegistration> hosts, RandomGenerator random) {
    for (int i = hosts.size() - 1; i > 0; i--) {
      Collections.swap(hosts, i, random.nextInt(i + 1));
    }
  }
}
