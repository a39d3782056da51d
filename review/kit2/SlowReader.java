import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * LOST: answers that clients are still reading when their host gets SIGTERM.
 *
 * <p>Sizes, deadline and rate are those of the sheet of cpru-gateway: answers of {@code
 * ledger-archive} of up to 540,000 bytes, 6.7 s to read them, links of 9.8 to 140 Mbit/s (here 19).
 */
final class SlowReader {
  private static final int CLIENTS = 2;
  private static final int PIPELINED = 27;
  private static final int ANSWER_BYTES = 540_000;
  private static final int DEADLINE_MS = 6_700;
  private static final double BYTES_PER_S = 2_350_000;
  private static final int CHUNK = 23_500;

  private SlowReader() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args, SlowReader::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    byte[] archive = new byte[ANSWER_BYTES];
    Arrays.fill(archive, (byte) 'a');
    for (int i = 0; i < 6; i++) {
      rig.backend(i, "archivist", "z-a", 16, (b, request, s, out) -> {
        String id = request.header("cactusstack-request-id");
        rig.record("ran " + id + " at " + b.id);
        Thread.sleep(60);
        b.answer(request, out, archive);
        rig.record("server has answered " + id);
        ran.add(id);
      });
    }
    rig.store.put("op", "config",
        "{\"version\":7,\"routes\":{\"r-archive\":{\"host\":\"ledger.example\",\"prefix\":\"/archive/\","
            + "\"type\":\"download\",\"timeoutS\":6.7,\"targetLatencyS\":0.9,\"priority\":2,"
            + "\"service\":\"archivist\",\"maxAttempts\":2}},\"services\":{\"archivist\":{\"healthPath\":"
            + "\"/healthz\",\"maxConns\":980,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
            + "\"warmupPerS\":6.6}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      hosts.add(rig.host(i, "z-a"));
    }
    for (Rig.Host h : hosts) {
      h.awaitReady(20_000);
    }
    Thread.sleep(5_000);
    Rig.Host host = hosts.get(0);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(rig, host, i));
    }
    for (int waited = 0; waited < 20 && ran.size() < CLIENTS * PIPELINED; waited++) {
      Thread.sleep(50);
    }
    Thread.sleep(500);
    rig.record("servers have answered " + ran.size() + " of " + CLIENTS * PIPELINED + " requests");
    if (rig.trouble) {
      host.terminate();
    }
    int lost = 0;
    for (Client c : clients) {
      c.thread.join();
      for (int n = c.complete; n < PIPELINED; n++) {
        boolean inTime = c.endedAtMs < DEADLINE_MS;
        rig.record("request " + c.id(n) + " ran " + ran.contains(c.id(n)) + ", no complete answer, "
            + (inTime ? "before its deadline: LOST" : "its deadline was reached"));
        lost += inTime && ran.contains(c.id(n)) ? 1 : 0;
      }
    }
    rig.record(lost + " requests were passed on and lost");
    return lost > 0;
  }

  /** Sends its requests one behind the other and reads at the rate of its link. */
  private static final class Client {
    final int number;
    final Thread thread;
    volatile int complete;
    volatile long endedAtMs;

    Client(Rig rig, Rig.Host host, int number) throws IOException {
      this.number = number;
      Socket s = new Socket();
      s.setReceiveBufferSize(65_536);
      s.connect(new InetSocketAddress(host.ip, host.callersPort), 1_000);
      long sentNs = System.nanoTime();
      for (int n = 0; n < PIPELINED; n++) {
        s.getOutputStream().write(Http.head("GET /archive/" + n + " HTTP/1.1", "Host: ledger.example",
            "Cactusstack-Request-Id: " + id(n), "Cactusstack-Deadline-Ms: " + DEADLINE_MS));
      }
      rig.record("client " + number + " sent " + PIPELINED + " requests");
      thread = new Thread(() -> {
        String end = "complete";
        try (s) {
          InputStream paced = new Paced(s.getInputStream());
          while (complete < PIPELINED) {
            Http.Message m = Http.read(paced);
            if (m == null) {
              end = "closed between two answers";
              break;
            }
            if (m.status() != 200 || m.body.length != ANSWER_BYTES
                || !id(complete).equals(m.header("cactusstack-request-id"))) {
              rig.record("answer " + m.first + " " + m.headers);
            }
            rig.record("client has answer " + id(complete) + ", " + m.first + ", " + m.body.length + " bytes");
            complete++;
          }
        } catch (IOException e) {
          end = e.toString();
        }
        endedAtMs = (System.nanoTime() - sentNs) / 1_000_000;
        rig.record("client " + number + " got " + complete + " answers, " + end + ", after " + endedAtMs + " ms");
      });
      thread.start();
    }

    String id(int n) {
      return "c" + number + "-" + n;
    }
  }

  private static final class Paced extends InputStream {
    private final InputStream in;
    private final long startNs = System.nanoTime();
    private final byte[] buffer = new byte[CHUNK];
    private int at;
    private int end;
    private long read;

    Paced(InputStream in) {
      this.in = in;
    }

    @Override
    public int read() throws IOException {
      if (at == end) {
        long dueNs = startNs + (long) (read / BYTES_PER_S * 1e9);
        long waitMs = (dueNs - System.nanoTime()) / 1_000_000;
        if (waitMs > 0) {
          try {
            Thread.sleep(waitMs);
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
        }
        end = in.read(buffer);
        at = 0;
        if (end < 0) {
          end = 0;
          return -1;
        }
        read += end;
      }
      return buffer[at++] & 255;
    }
  }
}
