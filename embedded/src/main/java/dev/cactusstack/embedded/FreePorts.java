package dev.cactusstack.embedded;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds unused ports on loopback. Stateless. */
public final class FreePorts {
  private FreePorts() {}

  /**
   * Finds a free TCP port.
   *
   * @return the port number
   */
  public static int tcp() {
    try (var s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Finds a free UDP port.
   *
   * @return the port number
   */
  public static int udp() {
    try (var s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
