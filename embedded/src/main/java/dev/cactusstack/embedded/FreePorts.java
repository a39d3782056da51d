package dev.cactusstack.embedded;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds unused ports on loopback, below the range that the system gives to outgoing connections, so
 * that a port found stays free until it is bound. Thread-safe.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  /** Processes start at different places, so that they seldom try the same port. */
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

  private FreePorts() {}

  /**
   * Finds a port that is free for both TCP and UDP.
   *
   * @return the port number
   */
  public static int next() {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no port is free on loopback; stop other processes");
  }

  private static boolean isFree(int port) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (var tcp = new ServerSocket(port, 1, loopback);
        var udp = new DatagramSocket(port, loopback)) {
      return tcp.isBound() && udp.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
