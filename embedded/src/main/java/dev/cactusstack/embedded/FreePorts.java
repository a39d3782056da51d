package dev.cactusstack.embedded;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds unused ports on loopback, below the operating system's ephemeral port range, so that no
 * outgoing connection takes a returned port before it is bound. Thread-safe.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  /** The start depends on the process id, so that concurrent processes seldom try the same port. */
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
    throw new IllegalStateException("no free port on loopback; stop other processes");
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
