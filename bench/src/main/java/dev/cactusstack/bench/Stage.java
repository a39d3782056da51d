package dev.cactusstack.bench;

import dev.cactusstack.ctl.CtlMain;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.Site;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.UpstreamStandIn;
import dev.cactusstack.standin.UpstreamTraits;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A deployment with its entry hosts and callers, ready for an experiment. Thread-safe. */
final class Stage implements AutoCloseable {
  private static final long READY_MS = 30_000;
  private static final long CALL_TIMEOUT_MS = 20_000;
  private static final long POLL_MS = 10;
  private static final double QUICK_SERVICE_MS = 2;

  final Site site;
  final EmbeddedHosts embedded;
  final LoadClient client;
  final EntryPolicy callers;

  Stage(BenchOptions o, String settings) throws InterruptedException {
    this(o, settings, Site.start(o.deployment(), o.scale(), o.seed()));
  }

  private Stage(BenchOptions o, String settings, Site site) throws InterruptedException {
    this.site = site;
    embedded =
        EmbeddedHosts.start(
            site,
            o.deployment().entryHosts() * o.scale(),
            0,
            0,
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
            Map.of(),
            settings);
    client = new LoadClient(2, CALL_TIMEOUT_MS);
    if (!embedded.awaitReady(READY_MS)) {
      throw new IllegalStateException("the entry hosts are not ready");
    }
    callers =
        new EntryPolicy(
            client, embedded.hosts().stream().map(h -> h.callerAddress().toString()).toList());
  }

  /** A stage whose upstreams answer within about two milliseconds, for many requests. */
  static Stage withQuickUpstreams(BenchOptions o, String settings) throws InterruptedException {
    return new Stage(o, settings, Site.startWith(o.deployment(), Stage::quick, o.seed()));
  }

  private static UpstreamTraits quick(UpstreamTraits t) {
    return new UpstreamTraits(
        t.service(),
        t.dataCentre(),
        t.slots(),
        QUICK_SERVICE_MS,
        t.spread(),
        t.coldBears(),
        t.warmUpRuns());
  }

  List<EntryHost> hosts() {
    return embedded.hosts();
  }

  /** Plays load that keeps a share of the slots busy. */
  Phase load(BenchOptions o, double busyShare, int seconds, long seed) throws InterruptedException {
    var phase = new Phase();
    phase.play(
        Arrivals.plan(o.deployment(), o.scale(), busyShare, seconds, seed),
        0,
        callers,
        (a, r) -> {});
    return phase;
  }

  /** Runs the operators' command against one host. */
  Ended ctl(int host, String... args) {
    var out = new ByteArrayOutputStream();
    var all = new ArrayList<String>();
    all.add("--operators");
    all.add(hosts().get(host).operatorAddress().toString());
    all.addAll(List.of(args));
    var stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    int code = CtlMain.run(all.toArray(new String[0]), Map.of(), stream, stream);
    return new Ended(code, out.toString(StandardCharsets.UTF_8));
  }

  /** The end of a command. */
  record Ended(int code, String text) {
    long version() {
      return Long.parseLong(text.replaceAll("(?s).*version=(\\d+).*", "$1"));
    }

    boolean isAccepted() {
      return text.contains("outcome=accepted");
    }
  }

  static boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return true;
  }

  List<UpstreamStandIn> upstreamsOf(String dataCentre) {
    return site.upstreams().stream()
        .filter(u -> u.traits().dataCentre().equals(dataCentre))
        .toList();
  }

  @Override
  public void close() {
    client.close();
    embedded.close();
    site.close();
  }
}
