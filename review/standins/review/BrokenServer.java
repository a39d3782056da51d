package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;

/**
 * A server, as a process of its own, that answers an upload before it has read it. Its answers have
 * no length and end with their connections. It says on standard output what it does.
 */
public final class BrokenServer {
  static final int ANSWER_BYTES = 6_000;
  private static final int SLOTS = 4;
  private static final int QUEUE = 16;
  private static final long WORK_MS = 110;
  private static final long BETWEEN_PARTS_MS = 200;
  private static final Semaphore slots = new Semaphore(SLOTS, true);

  private BrokenServer() {}

  public static void main(String[] args) throws Exception {
    var listening = new ServerSocket();
    listening.setReceiveBufferSize(Integer.getInteger("rcv", 65_536));
    listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
    System.out.println("port " + listening.getLocalPort());
    while (true) {
      Socket s = listening.accept();
      Threads.start("connection", () -> serve(args[0], s));
    }
  }

  private static void serve(String id, Socket s) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream(), 1_024);
      OutputStream out = s.getOutputStream();
      Http.Message m;
      while ((m = Http.readHead(in)) != null) {
        if (m.target().equals("/healthz")) {
          Server.respond(out, "200 OK", "Cactusstack-Instance-Id: " + id + "\r\nCactusstack-Server-Load: " + (SLOTS - slots.availablePermits()) + ",0," + SLOTS + ",100\r\n", new byte[0]);
          continue;
        }
        if (!m.header("Cactusstack-Expected-Instance").equals(id)) {
          Server.respond(out, "421 Misdirected Request", "Cactusstack-Instance-Id: " + id + "\r\nConnection: close\r\n", new byte[0]);
          return;
        }
        String requestId = m.header("Cactusstack-Request-Id");
        if (slots.getQueueLength() >= QUEUE) {
          Server.respond(out, "503 Service Unavailable", "Cactusstack-Request-Id: " + requestId + "\r\nCactusstack-Not-Executed: 1\r\nConnection: close\r\n", new byte[0]);
          return;
        }
        slots.acquire();
        try {
          answer(requestId, m, in, out);
        } finally {
          slots.release();
        }
        s.shutdownOutput();
        in.read();
        return;
      }
    }
  }

  private static void answer(String requestId, Http.Message m, InputStream in, OutputStream out)
      throws Exception {
    System.out.println("runs " + requestId);
    Thread.sleep(WORK_MS);
    byte[] body = Server.body(requestId, ANSWER_BYTES);
    out.write(
        Http.bytes(
            "HTTP/1.1 200 OK\r\nCactusstack-Request-Id: " + requestId
                + "\r\nCactusstack-Response-Seal: seal." + requestId + "." + ANSWER_BYTES
                + "\r\nConnection: close\r\n\r\n"));
    out.write(body, 0, ANSWER_BYTES / 2);
    out.flush();
    System.out.println("half " + requestId);
    Thread.sleep(BETWEEN_PARTS_MS);
    out.write(body, ANSWER_BYTES / 2, ANSWER_BYTES - ANSWER_BYTES / 2);
    out.flush();
    System.out.println("whole " + requestId);
    Http.readBody(m, in);
  }
}
