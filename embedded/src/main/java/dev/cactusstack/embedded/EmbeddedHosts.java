package dev.cactusstack.embedded;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.host.observe.Ticker;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Entry hosts that run in this process against stand-ins. Thread-safe. */
public final class EmbeddedHosts implements AutoCloseable {
  private final List<EntryHost> hosts;

  private EmbeddedHosts(List<EntryHost> hosts) {
    this.hosts = List.copyOf(hosts);
  }

  /**
   * Starts entry hosts, spread evenly over the data centres of the deployment.
   *
   * @param standIns the platform and upstream stand-ins
   * @param count number of hosts
   * @param callersPort the first host's port for callers, 0 for any free port
   * @param operatorsPort the first host's port for operators, 0 for any free port
   * @param policy selects an upstream of a route
   * @param environment environment variables
   * @param extraSettings additional settings, as JSON members with a leading comma, or empty
   * @return the running hosts
   */
  public static EmbeddedHosts start(
      StandInEnvironment standIns,
      int count,
      int callersPort,
      int operatorsPort,
      LoadBalancingPolicy policy,
      Map<String, String> environment,
      String extraSettings) {
    Objects.requireNonNull(standIns, "site is null");
    List<String> dataCentres = standIns.deployment().dataCentres();
    var specs = new ArrayList<HostSpec>();
    for (int i = 0; i < count; i++) {
      String dataCentre = dataCentres.get(i % dataCentres.size());
      boolean isFirst = i == 0;
      specs.add(
          new HostSpec(
              dataCentre + "-host-" + (i / dataCentres.size() + 1),
              dataCentre,
              isFirst && callersPort > 0 ? callersPort : FreePorts.next(),
              isFirst && operatorsPort > 0 ? operatorsPort : FreePorts.next(),
              FreePorts.next(),
              standIns.platform().port(),
              extraSettings));
    }
    specs.forEach(s -> standIns.registerEntryHost("127.0.0.1:" + s.linkPort(), s.dataCentre()));
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
   * Waits until every host is ready and knows all other hosts.
   *
   * @param timeoutMs the maximum wait for each host, in milliseconds
   * @return false when a host is not ready within the timeout
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
    long deadlineMs = Ticker.SYSTEM.millis() + timeoutMs;
    while (h.controllers().members().members().size() < hosts.size()) {
      if (Ticker.SYSTEM.millis() > deadlineMs) {
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
