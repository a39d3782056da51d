package review;

/** Starts daemon threads. */
final class Threads {
  interface Task {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                Record.say("%s ended: %s", name, e);
              }
            },
            name);
    t.setDaemon(true);
    t.start();
    return t;
  }

  static void sleepUntil(double seconds) throws InterruptedException {
    long ms = (long) ((seconds - Record.now()) * 1_000);
    if (ms > 0) {
      Thread.sleep(ms);
    }
  }
}
