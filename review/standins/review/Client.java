package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A connection of a client. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();
  private final BufferedInputStream in;

  Client(String ip, int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 8_192);
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(Http.bytes(text));
    socket.getOutputStream().flush();
  }

  static String head(String method, String host, String path, String id, long deadlineMs, int bodyBytes) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nCactusstack-Request-Id: " + id
        + "\r\nCactusstack-Deadline-Ms: " + deadlineMs + "\r\n"
        + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
  }

  /** Reads an answer; throws if none comes in time, or if it isn't complete. */
  Http.Message read(long timeoutMs) throws IOException {
    socket.setSoTimeout((int) timeoutMs);
    Http.Message m = Http.read(in);
    if (m == null) {
      throw new java.io.EOFException("closed without an answer");
    }
    return m;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }
}
