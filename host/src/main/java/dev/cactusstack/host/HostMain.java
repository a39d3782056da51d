package dev.cactusstack.host;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.LogSetup;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.settings.HostSettings;
import dev.cactusstack.settings.SettingsResult;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The command line of {@code bin/cactusstack} for an entry host that is started from a settings
 * file.
 */
public final class HostMain {
  /** Exit code for invalid arguments or settings. */
  public static final int EXIT_INVALID = 2;

  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final long READY_LOG_INTERVAL_MS = 10_000;

  private HostMain() {}

  /**
   * Creates the parser for all options of {@code bin/cactusstack}.
   *
   * @return the parser
   */
  public static OptionParser parser() {
    var p = new OptionParser();
    p.accepts("settings", "run one entry host from this JSON file")
        .withRequiredArg()
        .ofType(File.class);
    p.accepts("check-settings", "only validate the settings file");
    p.accepts("embedded", "run the whole path in one process, without settings");
    p.accepts("callers-port", "embedded: port for callers of the first host, 0 for any")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(8080);
    p.accepts("operators-port", "embedded: port for operators of the first host, 0 for any")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(8081);
    p.accepts("hosts", "embedded: number of entry hosts")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(3);
    p.acceptsAll(java.util.List.of("help", "h"), "show this help").forHelp();
    return p;
  }

  /**
   * Runs the program.
   *
   * @param args the command line
   * @throws IOException when help cannot be printed
   */
  public static void main(String[] args) throws IOException {
    LogSetup.install();
    OptionParser parser = parser();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println(
          Event.named("invalid_arguments")
              .with("reason", String.valueOf(e.getMessage()))
              .with("remedy", "see --help"));
      System.exit(EXIT_INVALID);
      return;
    }
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      return;
    }
    if (!options.has("settings")) {
      System.err.println(
          Event.named("invalid_arguments")
              .with("reason", "no settings")
              .with("remedy", "add --settings FILE or --embedded"));
      System.exit(EXIT_INVALID);
      return;
    }
    run(((File) options.valueOf("settings")).toPath(), options.has("check-settings"));
  }

  private static void run(Path file, boolean checkOnly) {
    SettingsResult checked = read(file);
    if (checked instanceof SettingsResult.Invalid invalid) {
      invalid.errors().forEach(System.err::println);
      System.exit(EXIT_INVALID);
    } else if (checkOnly) {
      System.out.println(Event.named("settings_valid").with("file", file));
    } else {
      serve(((SettingsResult.Valid) checked).settings());
    }
  }

  private static SettingsResult read(Path file) {
    try {
      return HostSettings.parse(Files.readString(file), System.getenv());
    } catch (IOException e) {
      return new SettingsResult.Invalid(
          java.util.List.of(
              new dev.cactusstack.settings.SettingsError(
                  "(file)", file.toString(), "name a file that can be read: " + e.getMessage())));
    }
  }

  private static void serve(HostSettings settings) {
    EntryHost host =
        EntryHost.start(
            settings,
            Ticker.SYSTEM,
            InstantSource.system(),
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY);
    ShutdownSignals.install(java.util.List.of(host));
    try {
      while (!host.awaitReady(READY_LOG_INTERVAL_MS)) {
        LOG.atWarning().log(
            "%s",
            Event.named("waiting_for_configuration")
                .with("remedy", "check that the platform or another host can be reached"));
      }
      System.out.println(readyEvent(host));
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Event readyEvent(EntryHost host) {
    return Event.named("ready")
        .with("callers", host.callerAddress())
        .with("operators", host.operatorAddress())
        .with("host", host.settings().id());
  }
}
