package dev.cactusstack.embedded;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.ExecutionCounter;
import dev.cactusstack.standin.PlatformStandIn;
import dev.cactusstack.standin.UpstreamSpec;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.xnio.XnioWorker;

/**
 * The stand-ins that entry hosts of a deployment depend on: the platform with its table and host
 * list, and the upstreams. Thread-safe.
 */
public final class StandInEnvironment implements AutoCloseable {
  private static final int INITIAL_WEIGHT = 20;
  private static final int UPSTREAM_THREADS = 2;
  private static final int FAST_UPSTREAM_SLOTS = 64;

  private final Deployment deployment;
  private final PlatformStandIn platform;
  private final XnioWorker worker;
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final List<UpstreamStandIn> upstreams = new ArrayList<>();

  /** Upstreams that respond immediately and have many slots, to measure only the entry hosts. */
  public static final UnaryOperator<UpstreamSpec> FAST_UPSTREAMS =
      t ->
          new UpstreamSpec(
              t.service(),
              t.dataCentre(),
              FAST_UPSTREAM_SLOTS,
              0,
              0,
              t.coldConcurrencyLimit(),
              t.warmUpRequests());

  private StandInEnvironment(
      Deployment deployment, int scale, UnaryOperator<UpstreamSpec> modifier, long seed) {
    this.deployment = Objects.requireNonNull(deployment, "deployment is null");
    platform = PlatformStandIn.start(0);
    worker = XnioWorkers.createDaemonWorker("upstreams", UPSTREAM_THREADS);
    var random = new Random(seed);
    for (UpstreamSpec t : deployment.upstreams(scale)) {
      var serviceTimes = new Random(random.nextLong());
      upstreams.add(
          UpstreamStandIn.start(
              modifier.apply(t), 0, worker, executionCounter, serviceTimes, false));
    }
    platform.writeRows(initialRows());
    upstreams.forEach(u -> registerUpstream(u, false));
  }

  /**
   * Starts the stand-ins of a deployment.
   *
   * @param deployment the deployment to simulate
   * @param scale factor applied to the number of upstreams
   * @param seed seed of the service times, for repeatable runs
   * @return the running stand-ins
   */
  public static StandInEnvironment start(Deployment deployment, int scale, long seed) {
    return new StandInEnvironment(deployment, scale, UnaryOperator.identity(), seed);
  }

  /**
   * Starts the stand-ins of a deployment with modified upstreams.
   *
   * @param deployment the deployment to simulate
   * @param modifier modifies the specification of each upstream
   * @param seed seed of the service times, for repeatable runs
   * @return the running stand-ins
   */
  public static StandInEnvironment startModified(
      Deployment deployment, UnaryOperator<UpstreamSpec> modifier, long seed) {
    return new StandInEnvironment(deployment, 1, modifier, seed);
  }

  private ArrayNode initialRows() {
    ArrayNode writes = Json.newObject().putArray("writes");
    var slots = new TreeMap<String, Integer>();
    upstreams.forEach(
        u ->
            slots.merge(
                u.spec().service() + "/" + u.spec().dataCentre(), u.spec().slots(), Integer::sum));
    for (Map.Entry<String, Integer> e : slots.entrySet()) {
      writes
          .addObject()
          .put("key", "route/" + e.getKey())
          .putObject("value")
          .put("weight", INITIAL_WEIGHT)
          .put("limit", e.getValue())
          .put("upstream_limit", upstreams.get(0).spec().slots());
    }
    for (String d : deployment.dataCentres()) {
      writes.addObject().put("key", "data-centre/" + d).putObject("value").put("out", false);
    }
    return writes;
  }

  /**
   * Adds an upstream to the host list, or replaces its entry.
   *
   * @param u the upstream
   * @param leaving whether the list shows it as leaving
   */
  public void registerUpstream(UpstreamStandIn u, boolean leaving) {
    ObjectNode n = hostEntry(ListedHost.Role.UPSTREAM, u.spec().dataCentre(), leaving);
    platform.registerHost(u.address(), n.put("service", u.spec().service()));
  }

  /**
   * Adds an entry host to the host list, or replaces its entry.
   *
   * @param linkAddress the host's link address
   * @param dataCentre the data centre it is in
   */
  public void registerEntryHost(String linkAddress, String dataCentre) {
    platform.registerHost(linkAddress, hostEntry(ListedHost.Role.ENTRY, dataCentre, false));
  }

  private static ObjectNode hostEntry(ListedHost.Role role, String dataCentre, boolean leaving) {
    return Json.newObject()
        .put("role", role.name().toLowerCase(Locale.ROOT))
        .put("data_centre", dataCentre)
        .put("state", leaving ? "leaving" : "live");
  }

  /**
   * Returns the deployment.
   *
   * @return the deployment
   */
  public Deployment deployment() {
    return deployment;
  }

  /**
   * Returns the platform stand-in.
   *
   * @return the stand-in
   */
  public PlatformStandIn platform() {
    return platform;
  }

  /**
   * Lists the upstream stand-ins.
   *
   * @return the stand-ins
   */
  public List<UpstreamStandIn> upstreams() {
    return List.copyOf(upstreams);
  }

  /**
   * Returns the counter of actual executions.
   *
   * @return the counter
   */
  public ExecutionCounter executionCounter() {
    return executionCounter;
  }

  @Override
  public void close() {
    upstreams.forEach(UpstreamStandIn::close);
    platform.close();
    worker.shutdown();
  }
}
