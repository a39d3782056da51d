package dev.cactusstack.host;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.host.observe.Event;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import sun.misc.Signal;

/**
 * Turns the first SIGTERM or SIGINT into a shutdown in good order, and the second into one at once.
 * Thread-safe.
 */
public final class ShutdownSignals {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int EXIT_CUT_OFF = 1;

  private final List<EntryHost> hosts;
  private final AtomicBoolean leaving = new AtomicBoolean();

  private ShutdownSignals(List<EntryHost> hosts) {
    this.hosts = hosts;
  }

  /**
   * Installs the handlers.
   *
   * @param hosts the hosts of this process, stopped together
   */
  public static void install(List<EntryHost> hosts) {
    var signals = new ShutdownSignals(List.copyOf(hosts));
    Signal.handle(new Signal("TERM"), s -> signals.received());
    Signal.handle(new Signal("INT"), s -> signals.received());
  }

  private void received() {
    if (leaving.compareAndSet(false, true)) {
      new Thread(this::leave, "leave").start();
      return;
    }
    int cutOff = hosts.stream().mapToInt(EntryHost::inFlight).sum();
    LOG.atWarning().log("%s", Event.named("stopped_at_once").with("cut_off", cutOff));
    Runtime.getRuntime().halt(EXIT_CUT_OFF);
  }

  private void leave() {
    int cutOff = hosts.parallelStream().mapToInt(ShutdownSignals::leave).sum();
    System.exit(cutOff == 0 ? 0 : EXIT_CUT_OFF);
  }

  private static int leave(EntryHost host) {
    try {
      return host.shutDownGracefully();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return host.inFlight();
    }
  }
}
