package dev.cactusstack.bench;

import dev.cactusstack.ctl.CtlMain;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.StandInEnvironment;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.UpstreamSpec;
import dev.cactusstack.standin.UpstreamStandIn;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A running deployment with entry hosts and callers for an experiment. Thread-safe. */
final class BenchCluster implements AutoCloseable {
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final long CALL_TIMEOUT_MS = 20_000;
  private static final long POLL_MS = 10;
  private static final double FAST_SERVICE_MS = 2;

  final StandInEnvironment standIns;
  final EmbeddedHosts embeddedHosts;
  final LoadClient client;
  final EntryHostPolicy entryPolicy;

  BenchCluster(BenchOptions o, String settings) throws InterruptedException {
    this(o, settings, StandInEnvironment.start(o.deployment(), o.scale(), o.seed()));
  }

  private BenchCluster(BenchOptions o, String settings, StandInEnvironment standIns)
      throws InterruptedException {
    this.standIns = standIns;
    embeddedHosts =
        EmbeddedHosts.start(
            standIns,
            o.deployment().entryHosts() * o.scale(),
            0,
            0,
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
            Map.of(),
            settings);
    client = new LoadClient(2, CALL_TIMEOUT_MS);
    if (!embeddedHosts.awaitReady(READY_TIMEOUT_MS)) {
      throw new IllegalStateException("the entry hosts are not ready");
    }
    entryPolicy =
        new EntryHostPolicy(
            client, embeddedHosts.hosts().stream().map(h -> h.callerAddress().toString()).toList());
  }

  /** Starts a cluster whose upstreams respond within about two milliseconds, for many requests. */
  static BenchCluster withFastUpstreams(BenchOptions o, String settings)
      throws InterruptedException {
    return new BenchCluster(
        o,
        settings,
        StandInEnvironment.startModified(o.deployment(), BenchCluster::withFastService, o.seed()));
  }

  private static UpstreamSpec withFastService(UpstreamSpec t) {
    return new UpstreamSpec(
        t.service(),
        t.dataCentre(),
        t.slots(),
        FAST_SERVICE_MS,
        t.serviceTimeSigma(),
        t.coldConcurrencyLimit(),
        t.warmUpRequests());
  }

  List<EntryHost> hosts() {
    return embeddedHosts.hosts();
  }

  /** Sends load at the given utilization of the slots. */
  LoadPhase runLoad(BenchOptions o, double utilization, int seconds, long seed)
      throws InterruptedException {
    var phase = new LoadPhase();
    phase.execute(
        ArrivalPlanner.plan(o.deployment(), o.scale(), utilization, seconds, seed),
        0,
        entryPolicy,
        (a, r) -> {});
    return phase;
  }

  /** Runs the operators' command against a host. */
  CommandResult ctl(int host, String... args) {
    var out = new ByteArrayOutputStream();
    var arguments = new ArrayList<String>();
    arguments.add("--operators");
    arguments.add(hosts().get(host).operatorAddress().toString());
    arguments.addAll(List.of(args));
    var stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    int code = CtlMain.run(arguments.toArray(new String[0]), Map.of(), stream, stream);
    return new CommandResult(code, out.toString(StandardCharsets.UTF_8));
  }

  /** The exit code and output of a command. */
  record CommandResult(int code, String text) {
    long version() {
      return Long.parseLong(text.replaceAll("(?s).*version=(\\d+).*", "$1"));
    }

    boolean isAccepted() {
      return text.contains("outcome=accepted");
    }
  }

  static boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return true;
  }

  List<UpstreamStandIn> upstreamsIn(String dataCentre) {
    return standIns.upstreams().stream()
        .filter(u -> u.spec().dataCentre().equals(dataCentre))
        .toList();
  }

  @Override
  public void close() {
    client.close();
    embeddedHosts.close();
    standIns.close();
  }
}
