package dev.cactusstack.bench;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.callers.ArrivalCounter;
import dev.cactusstack.host.control.ArrivalRateController;
import dev.cactusstack.host.control.ConfigurationController;
import dev.cactusstack.host.control.ControlLoop;
import dev.cactusstack.host.control.Controllers;
import dev.cactusstack.host.control.MembershipController;
import dev.cactusstack.host.control.UpstreamsController;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import dev.cactusstack.storage.HostChanges;
import dev.cactusstack.storage.TableStore;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs the controllers of one host with a table and host list of a given size, without a network.
 */
final class RoutingStateBenchmark {
  private static final long READ_INTERVAL_MS = 100;
  private static final long WARM_UP_MS = 3_000;
  private static final double BYTES_PER_MB = 1 << 20;

  private RoutingStateBenchmark() {}

  /** The costs of the routing state of one size. */
  record Cost(
      int routes, double cpuMsPerChange, double heapMb, double bytesPerRow, double bytesPerHost) {}

  static Cost measure(int services, int dataCentres, int upstreamCount, int seconds)
      throws InterruptedException {
    long heapBefore = usedHeapBytes();
    var loop = new ControlLoop("design-size", Ticker.SYSTEM);
    var store = new ChangingStore(table(services, dataCentres));
    var hosts = hosts(services, dataCentres, upstreamCount);
    var members = new MembershipController(self(), (to, m) -> {}, Ticker.SYSTEM, new Random(1));
    var configuration =
        new ConfigurationController(
            store, members, (to, m) -> {}, loop, Ticker.SYSTEM, READ_INTERVAL_MS);
    var upstreams =
        new UpstreamsController(
            after ->
                CompletableFuture.completedFuture(
                    new HostChanges(1, after == 0, after == 0 ? hosts : List.of(), List.of())),
            members,
            loop,
            Ticker.SYSTEM,
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
            256);
    var rates = new ArrivalRateController(new ArrivalCounter(), members, Ticker.SYSTEM);
    var controllers = new Controllers(loop, members, configuration, upstreams, rates);
    loop.start();
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
    long cpuNanosBefore = loopCpuNanos();
    long version = controllers.configuration().inForce().version();
    TimeUnit.SECONDS.sleep(seconds);
    double changes = controllers.configuration().inForce().version() - version;
    double cpuMs = (loopCpuNanos() - cpuNanosBefore) / 1e6;
    double heapMegabytes = (usedHeapBytes() - heapBefore) / BYTES_PER_MB;
    int routes = controllers.configuration().inForce().routes().size();
    loop.close();
    return new Cost(routes, cpuMs / Math.max(1, changes), heapMegabytes, rowBytes(), hostBytes());
  }

  private static long usedHeapBytes() {
    System.gc();
    var r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static long loopCpuNanos() {
    var beans = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : beans.getAllThreadIds()) {
      var info = beans.getThreadInfo(id);
      if (info != null && info.getThreadName().equals("control-design-size")) {
        sum += Math.max(0, beans.getThreadCpuTime(id));
      }
    }
    return sum;
  }

  private static Member self() {
    Address a = new Address("127.0.0.1", 7_946);
    var info = new MemberInfo(1, dataCentre(0), a, a, a, 0, false, List.of());
    return new Member(new HostId("measured"), 1, MemberStatus.ALIVE, info);
  }

  private static DataCentre dataCentre(int i) {
    return new DataCentre("centre-" + (i + 1));
  }

  private static ServiceName service(int i) {
    return new ServiceName("service-" + i);
  }

  private static ConfigurationTable table(int services, int dataCentres) {
    var routes = new TreeMap<RouteKey, Route>();
    var rows = new TreeMap<DataCentre, DataCentreRow>();
    for (int d = 0; d < dataCentres; d++) {
      rows.put(dataCentre(d), new DataCentreRow(dataCentre(d), false, 1, List.of()));
      for (int s = 0; s < services; s++) {
        var key = new RouteKey(service(s), dataCentre(d));
        routes.put(key, new Route(key, 20, 40, 4, 1, List.of("first-operation")));
      }
    }
    return new ConfigurationTable(1, routes, rows);
  }

  private static List<ListedHost> hosts(int services, int dataCentres, int upstreamCount) {
    var hosts = new ArrayList<ListedHost>();
    for (int i = 0; i < upstreamCount; i++) {
      hosts.add(
          new ListedHost(
              ListedHost.Role.UPSTREAM,
              new Address("10." + (i >> 16) + "." + (i >> 8 & 0xff) + "." + (i & 0xff), 80),
              dataCentre(i / services % dataCentres),
              Optional.of(service(i % services)),
              false));
    }
    return hosts;
  }

  /** Returns the size of a row as the table service sends it. */
  private static double rowBytes() {
    return ("{\"key\":\"route/service-1000/centre-1\",\"version\":123456,\"value\":{\"operations\":"
            + "[\"00000000-0000-0000-0000-000000000000\"],\"weight\":20,\"limit\":40,"
            + "\"upstream_limit\":4}},")
        .length();
  }

  /** Returns the size of an entry as the host list sends it. */
  private static double hostBytes() {
    return ("{\"address\":\"10.100.100.100:8080\",\"role\":\"upstream\",\"data_centre\":\"centre-1\","
            + "\"state\":\"live\",\"service\":\"service-1000\"},")
        .length();
  }

  /** A table store in which every read returns one changed row. */
  private static final class ChangingStore implements TableStore {
    private final ConfigurationTable first;
    private long version = 1;

    ChangingStore(ConfigurationTable first) {
      this.first = first;
    }

    @Override
    public synchronized CompletableFuture<ConfigurationTable> readChanges(long revision) {
      if (revision == 0) {
        return CompletableFuture.completedFuture(first);
      }
      version++;
      Route r = first.route(first.routes().firstKey()).orElseThrow();
      var rows = new TreeMap<RouteKey, Route>();
      int weight = (int) (version % 100);
      rows.put(r.key(), new Route(r.key(), weight, 40, 4, version, List.of("op")));
      return CompletableFuture.completedFuture(
          new ConfigurationTable(version, rows, new TreeMap<>()));
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(
        List<Route> routes, List<DataCentreRow> dataCentres) {
      return CompletableFuture.completedFuture(new CommitOutcome.Rejected("read only"));
    }
  }
}
