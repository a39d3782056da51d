package dev.cactusstack.embedded;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.http.Workers;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.PlatformStandIn;
import dev.cactusstack.standin.RunLog;
import dev.cactusstack.standin.UpstreamStandIn;
import dev.cactusstack.standin.UpstreamTraits;
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
public final class Site implements AutoCloseable {
  private static final int DEFAULT_WEIGHT = 20;
  private static final int UPSTREAM_THREADS = 2;
  private static final int QUICK_SLOTS = 64;

  private final Deployment deployment;
  private final PlatformStandIn platform;
  private final XnioWorker worker;
  private final RunLog runs = new RunLog();
  private final List<UpstreamStandIn> upstreams = new ArrayList<>();

  /** Upstreams that answer at once and have many slots, to measure the entry hosts alone. */
  public static final UnaryOperator<UpstreamTraits> QUICK =
      t ->
          new UpstreamTraits(
              t.service(), t.dataCentre(), QUICK_SLOTS, 0, 0, t.coldBears(), t.warmUpRuns());

  private Site(Deployment deployment, int scale, UnaryOperator<UpstreamTraits> change, long seed) {
    this.deployment = Objects.requireNonNull(deployment, "deployment is null");
    platform = PlatformStandIn.start(0);
    worker = Workers.daemon("upstreams", UPSTREAM_THREADS);
    var random = new Random(seed);
    for (UpstreamTraits t : deployment.upstreams(scale)) {
      var times = new Random(random.nextLong());
      upstreams.add(UpstreamStandIn.start(change.apply(t), 0, worker, runs, times, false));
    }
    platform.writeRows(rows());
    upstreams.forEach(u -> list(u, false));
  }

  /**
   * Starts a site.
   *
   * @param deployment which one
   * @param scale factor on the number of upstreams
   * @param seed makes the upstreams' times repeatable
   * @return the running site
   */
  public static Site start(Deployment deployment, int scale, long seed) {
    return new Site(deployment, scale, UnaryOperator.identity(), seed);
  }

  /**
   * Starts a site whose upstreams differ from the deployment's.
   *
   * @param deployment which one
   * @param change changes each upstream's traits
   * @param seed makes the upstreams' times repeatable
   * @return the running site
   */
  public static Site startWith(
      Deployment deployment, UnaryOperator<UpstreamTraits> change, long seed) {
    return new Site(deployment, 1, change, seed);
  }

  private ArrayNode rows() {
    ArrayNode writes = Json.object().putArray("writes");
    var slots = new TreeMap<String, Integer>();
    upstreams.forEach(
        u ->
            slots.merge(
                u.traits().service() + "/" + u.traits().dataCentre(),
                u.traits().slots(),
                Integer::sum));
    for (Map.Entry<String, Integer> e : slots.entrySet()) {
      writes
          .addObject()
          .put("key", "route/" + e.getKey())
          .putObject("value")
          .put("weight", DEFAULT_WEIGHT)
          .put("limit", e.getValue())
          .put("upstream_limit", upstreams.get(0).traits().slots());
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
  public void list(UpstreamStandIn u, boolean leaving) {
    ObjectNode n = entry(ListedHost.Role.UPSTREAM, u.traits().dataCentre(), leaving);
    platform.registerHost(u.address(), n.put("service", u.traits().service()));
  }

  /**
   * Puts an entry host into the host list.
   *
   * @param link its link address
   * @param dataCentre where it is
   */
  public void listEntryHost(String link, String dataCentre) {
    platform.registerHost(link, entry(ListedHost.Role.ENTRY, dataCentre, false));
  }

  private static ObjectNode entry(ListedHost.Role role, String dataCentre, boolean leaving) {
    return Json.object()
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
  public RunLog runs() {
    return runs;
  }

  @Override
  public void close() {
    upstreams.forEach(UpstreamStandIn::close);
    platform.close();
    worker.shutdown();
  }
}
