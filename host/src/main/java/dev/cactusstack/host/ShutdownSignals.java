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
  private static final int EXIT_REQUESTS_ABORTED = 1;

  private final List<EntryHost> hosts;
  private final AtomicBoolean shuttingDown = new AtomicBoolean();

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
    Signal.handle(new Signal("TERM"), s -> signals.onSignal());
    Signal.handle(new Signal("INT"), s -> signals.onSignal());
  }

  private void onSignal() {
    if (shuttingDown.compareAndSet(false, true)) {
      new Thread(this::shutDown, "leave").start();
      return;
    }
    int abortedRequests = hosts.stream().mapToInt(EntryHost::inFlight).sum();
    LOG.atWarning().log("%s", Event.named("stopped_at_once").with("cut_off", abortedRequests));
    Runtime.getRuntime().halt(EXIT_REQUESTS_ABORTED);
  }

  private void shutDown() {
    int abortedRequests = hosts.parallelStream().mapToInt(ShutdownSignals::shutDown).sum();
    System.exit(abortedRequests == 0 ? 0 : EXIT_REQUESTS_ABORTED);
  }

  private static int shutDown(EntryHost host) {
    try {
      return host.shutDownGracefully();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return host.inFlight();
    }
  }
}
