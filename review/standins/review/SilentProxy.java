package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes bytes on. Its open connections can be made silent for good; new ones work. */
final class SilentProxy {
  private final ServerSocket listening;
  private final int targetPort;
  private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  SilentProxy(String target) throws IOException {
    targetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
    listening = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start("proxy", () -> {
      while (true) {
        Socket s = listening.accept();
        Threads.start("proxied connection", () -> pass(s));
      }
    });
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** From now on, what is sent on the connections that are open arrives nowhere. */
  int silence() {
    silent.addAll(open);
    return silent.size();
  }

  private void pass(Socket from) throws Exception {
    Socket to = new Socket("127.0.0.1", targetPort);
    from.setTcpNoDelay(true);
    to.setTcpNoDelay(true);
    open.add(from);
    Threads.start("back", () -> copy(from, to, from));
    copy(from, from, to);
    open.remove(from);
  }

  private void copy(Socket connection, Socket from, Socket to) throws IOException {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] b = new byte[16_384];
      int n;
      while ((n = in.read(b)) > 0) {
        if (!silent.contains(connection)) {
          out.write(b, 0, n);
          out.flush();
        }
      }
    } catch (IOException e) {
      // One of the two ended.
    }
    if (!silent.contains(connection)) {
      from.close();
      to.close();
    }
  }
}
