package dev.cactusstack.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates XNIO workers. Stateless and thread-safe. */
public final class XnioWorkers {
  private XnioWorkers() {}

  /**
   * Creates a worker with daemon I/O threads and one thread for blocking tasks.
   *
   * @param name the name prefix of the threads
   * @param ioThreads the number of I/O threads
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
