package dev.cactusstack.bench;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/** A task that runs concurrently with the main thread of an experiment. Thread-safe. */
final class BackgroundTask<T> {
  private final FutureTask<T> task;

  private BackgroundTask(FutureTask<T> task) {
    this.task = task;
  }

  static <T> BackgroundTask<T> start(String name, Callable<T> work) {
    var task = new FutureTask<T>(work);
    var thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return new BackgroundTask<>(task);
  }

  T join() throws InterruptedException {
    try {
      return task.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }
}
