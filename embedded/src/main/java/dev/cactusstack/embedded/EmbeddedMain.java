package dev.cactusstack.embedded;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.host.HostMain;
import dev.cactusstack.host.ShutdownSignals;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.LogSetup;
import dev.cactusstack.standin.Deployment;
import java.io.IOException;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The command line of {@code bin/cactusstack --embedded}. */
public final class EmbeddedMain {
  private static final int MAX_HOSTS = 64;
  private static final int MAX_PORT = 65_535;
  private static final long READY_TIMEOUT_MS = 15_000;
  private static final long RANDOM_SEED = 1;

  private EmbeddedMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   * @throws IOException when help cannot be printed
   * @throws InterruptedException when the main thread is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    LogSetup.install();
    OptionParser parser = HostMain.parser();
    try {
      OptionSet options = parser.parse(args);
      if (options.has("help")) {
        parser.printHelpOn(System.out);
        return;
      }
      run(
          parseNumber(options, "hosts", 1, MAX_HOSTS),
          parseNumber(options, "callers-port", 0, MAX_PORT),
          parseNumber(options, "operators-port", 0, MAX_PORT));
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(
          Event.named("invalid_arguments")
              .with("reason", String.valueOf(e.getMessage()))
              .with("remedy", "see --help"));
      System.exit(HostMain.EXIT_INVALID);
    }
  }

  private static int parseNumber(OptionSet options, String name, int min, int max) {
    int n = (Integer) options.valueOf(name);
    if (n < min || n > max) {
      throw new IllegalArgumentException(
          "--" + name + "=" + n + " is not a number from " + min + " to " + max);
    }
    return n;
  }

  private static void run(int count, int callersPort, int operatorsPort)
      throws InterruptedException {
    StandInEnvironment standIns = StandInEnvironment.start(Deployment.QAZYNA, 1, RANDOM_SEED);
    EmbeddedHosts entryHosts =
        EmbeddedHosts.start(
            standIns,
            count,
            callersPort,
            operatorsPort,
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
            System.getenv(),
            "");
    ShutdownSignals.install(entryHosts.hosts());
    boolean ready = entryHosts.awaitReady(READY_TIMEOUT_MS);
    EntryHost first = entryHosts.hosts().get(0);
    System.out.println(
        Event.named(ready ? "ready" : "not_ready")
            .with("callers", first.callerAddress())
            .with("operators", first.operatorAddress())
            .with("hosts", count)
            .with("platform", "127.0.0.1:" + standIns.platform().port())
            .with(
                "all_callers",
                entryHosts.hosts().stream()
                    .map(h -> h.callerAddress().toString())
                    .collect(Collectors.joining(","))));
    Thread.currentThread().join();
  }
}
