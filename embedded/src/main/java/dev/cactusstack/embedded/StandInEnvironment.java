package dev.cactusstack.embedded;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.PlatformStandIn;
import dev.cactusstack.standin.ExecutionCounter;
import dev.cactusstack.standin.UpstreamStandIn;
import dev.cactusstack.standin.UpstreamSpec;
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
 * What surrounds the entry hosts of a deployment: the platform stand-in with its table and host
 * list, and the upstream stand-ins. Thread-safe.
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

  /** Upstreams that answer at once and have many slots, to measure the entry hosts alone. */
  public static final UnaryOperator<UpstreamSpec> FAST_UPSTREAMS =
      t ->
          new UpstreamSpec(
              t.service(), t.dataCentre(), FAST_UPSTREAM_SLOTS, 0, 0, t.coldConcurrencyLimit(), t.warmUpRequests());

  private StandInEnvironment(Deployment deployment, int scale, UnaryOperator<UpstreamSpec> modifier, long seed) {
    this.deployment = Objects.requireNonNull(deployment, "deployment is null");
    platform = PlatformStandIn.start(0);
    worker = XnioWorkers.createDaemonWorker("upstreams", UPSTREAM_THREADS);
    var random = new Random(seed);
    for (UpstreamSpec t : deployment.upstreams(scale)) {
      var serviceTimes = new Random(random.nextLong());
      upstreams.add(UpstreamStandIn.start(modifier.apply(t), 0, worker, executionCounter, serviceTimes, false));
    }
    platform.writeRows(initialRows());
    upstreams.forEach(u -> registerUpstream(u, false));
  }

  /**
   * Starts a site.
   *
   * @param deployment which one
   * @param scale factor on the number of upstreams
   * @param seed makes the upstreams' times repeatable
   * @return the running site
   */
  public static StandInEnvironment start(Deployment deployment, int scale, long seed) {
    return new StandInEnvironment(deployment, scale, UnaryOperator.identity(), seed);
  }

  /**
   * Starts a site whose upstreams differ from the deployment's.
   *
   * @param deployment which one
   * @param modifier changes each upstream's traits
   * @param seed makes the upstreams' times repeatable
   * @return the running site
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
                u.spec().service() + "/" + u.spec().dataCentre(),
                u.spec().slots(),
                Integer::sum));
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
   * Puts an upstream into the host list.
   *
   * @param u the upstream
   * @param leaving whether the list shows it as leaving
   */
  public void registerUpstream(UpstreamStandIn u, boolean leaving) {
    ObjectNode n = hostEntry(ListedHost.Role.UPSTREAM, u.spec().dataCentre(), leaving);
    platform.registerHost(u.address(), n.put("service", u.spec().service()));
  }

  /**
   * Puts an entry host into the host list.
   *
   * @param linkAddress its link address
   * @param dataCentre where it is
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
   * Returns the true counts of runs.
   *
   * @return the counts
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
