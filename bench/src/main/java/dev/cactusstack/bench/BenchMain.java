package dev.cactusstack.bench;

import dev.cactusstack.host.observe.LogSetup;
import dev.cactusstack.standin.Deployment;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The command line of {@code bench/run}. */
public final class BenchMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID = 2;

  private BenchMain() {}

  /**
   * Runs an experiment or a stand-in.
   *
   * @param args the command line
   * @throws Exception when the experiment cannot be run
   */
  public static void main(String[] args) throws Exception {
    LogSetup.install();
    var parser = new OptionParser();
    parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    parser.accepts("deployment").withRequiredArg().defaultsTo("qazyna");
    parser.accepts("scale").withRequiredArg().ofType(Integer.class).defaultsTo(1);
    parser.accepts("port").withRequiredArg().ofType(Integer.class).defaultsTo(0);
    parser.accepts("hosts").withRequiredArg();
    parser.accepts("service").withRequiredArg().defaultsTo("search");
    parser.accepts("data-centre").withRequiredArg().defaultsTo("almaty-1");
    parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(4);
    parser.accepts("service-ms").withRequiredArg().ofType(Double.class).defaultsTo(40.0);
    parser.accepts("cold");
    parser.accepts("verbose", "show the logs of the hosts");
    parser.acceptsAll(List.of("help", "h")).forHelp();
    OptionSet o;
    try {
      o = parser.parse(args);
    } catch (OptionException e) {
      fail(String.valueOf(e.getMessage()));
      return;
    }
    if (!o.has("verbose")) {
      Logger.getLogger("").setLevel(Level.SEVERE);
    }
    String name =
        o.nonOptionArguments().isEmpty() ? "list" : (String) o.nonOptionArguments().get(0);
    if (o.has("help")) {
      parser.printHelpOn(System.out);
      return;
    }
    switch (name) {
      case "list" -> list();
      case "platform" -> StandInCommands.platform(o);
      case "upstream" -> StandInCommands.upstream(o);
      default -> runScenario(name, o);
    }
  }

  private static void list() {
    for (Scenarios s : Scenarios.values()) {
      System.out.println(s.label() + ": " + s.description());
    }
    System.out.println("platform: runs a platform stand-in (--port N --hosts FILE)");
    System.out.println(
        "upstream: runs an upstream stand-in (--port N --service S --data-centre D)");
  }

  private static void runScenario(String name, OptionSet o) throws Exception {
    Optional<Scenarios> s = Scenarios.ofLabel(name);
    Optional<Deployment> d = Deployment.ofName((String) o.valueOf("deployment"));
    int seconds = (Integer) o.valueOf("seconds");
    int scale = (Integer) o.valueOf("scale");
    if (s.isEmpty() || d.isEmpty() || seconds < 1 || seconds > 600 || scale < 1 || scale > 4) {
      fail("unknown scenario or deployment, or a number out of range");
      return;
    }
    var options = new BenchOptions((Long) o.valueOf("seed"), seconds, d.get(), scale);
    try {
      System.out.println(s.get().scenario().run(options));
      System.exit(0);
    } catch (RuntimeException e) {
      // The servers' threads would keep the process alive.
      e.printStackTrace();
      System.exit(EXIT_FAILED);
    }
  }

  private static void fail(String reason) {
    System.err.println(
        "event=invalid_arguments reason=\"" + reason + "\" remedy=\"see bench/run list\"");
    System.exit(EXIT_INVALID);
  }
}
