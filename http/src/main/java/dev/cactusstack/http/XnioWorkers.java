package dev.cactusstack.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the threads that perform input and output. Stateless and thread-safe. */
public final class XnioWorkers {
  private XnioWorkers() {}

  /**
   * Creates daemon I/O threads; tasks that block have one thread.
   *
   * @param name names the threads
   * @param ioThreads how many I/O threads
   * @return the running worker
   */
  public static XnioWorker createDaemonWorker(String name, int ioThreads) {
    Objects.requireNonNull(name, "name is null");
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_NAME, name)
                  .set(Options.WORKER_IO_THREADS, ioThreads)
                  .set(Options.WORKER_TASK_CORE_THREADS, 1)
                  .set(Options.WORKER_TASK_MAX_THREADS, 1)
                  .set(Options.THREAD_DAEMON, true)
                  .set(Options.TCP_NODELAY, true)
                  .getMap());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
