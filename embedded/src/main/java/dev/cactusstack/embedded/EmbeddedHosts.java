package dev.cactusstack.embedded;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.host.observe.Ticker;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Entry hosts of a site in this process. Thread-safe. */
public final class EmbeddedHosts implements AutoCloseable {
  private final List<EntryHost> hosts;

  private EmbeddedHosts(List<EntryHost> hosts) {
    this.hosts = List.copyOf(hosts);
  }

  /**
   * Starts entry hosts, spread evenly over the data centres of a site.
   *
   * @param site the site
   * @param count how many hosts
   * @param callersPort the first host's port for callers, 0 for any
   * @param operatorsPort the first host's port for operators, 0 for any
   * @param policy chooses among the upstreams of a route
   * @param environment environment variables
   * @param extra further settings, as JSON members with a leading comma, or empty
   * @return the running hosts
   */
  public static EmbeddedHosts start(
      Site site,
      int count,
      int callersPort,
      int operatorsPort,
      LoadBalancingPolicy policy,
      Map<String, String> environment,
      String extra) {
    Objects.requireNonNull(site, "site is null");
    List<String> dataCentres = site.deployment().dataCentres();
    var specs = new ArrayList<HostSpec>();
    for (int i = 0; i < count; i++) {
      String dataCentre = dataCentres.get(i % dataCentres.size());
      boolean first = i == 0;
      specs.add(
          new HostSpec(
              dataCentre + "-host-" + (i / dataCentres.size() + 1),
              dataCentre,
              first && callersPort > 0 ? callersPort : FreePorts.next(),
              first && operatorsPort > 0 ? operatorsPort : FreePorts.next(),
              FreePorts.next(),
              site.platform().port(),
              extra));
    }
    specs.forEach(s -> site.listEntryHost("127.0.0.1:" + s.linkPort(), s.dataCentre()));
    return new EmbeddedHosts(
        specs.stream()
            .map(
                s ->
                    EntryHost.start(
                        s.settings(environment), Ticker.SYSTEM, InstantSource.system(), policy))
            .toList());
  }

  /**
   * Lists the hosts.
   *
   * @return the hosts
   */
  public List<EntryHost> hosts() {
    return hosts;
  }

  /**
   * Waits until every host serves and knows all others.
   *
   * @param timeoutMs the longest wait for each host
   * @return false when one is not ready by then
   * @throws InterruptedException when the waiting thread is interrupted
   */
  public boolean awaitReady(long timeoutMs) throws InterruptedException {
    for (EntryHost h : hosts) {
      if (!h.awaitReady(timeoutMs) || !awaitMembers(h, timeoutMs)) {
        return false;
      }
    }
    return true;
  }

  private boolean awaitMembers(EntryHost h, long timeoutMs) throws InterruptedException {
    long end = Ticker.SYSTEM.millis() + timeoutMs;
    while (h.controllers().members().members().size() < hosts.size()) {
      if (Ticker.SYSTEM.millis() > end) {
        return false;
      }
      Thread.sleep(20);
    }
    return true;
  }

  @Override
  public void close() {
    hosts.forEach(EntryHost::close);
  }
}
