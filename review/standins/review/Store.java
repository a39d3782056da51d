package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's store: rows in tables, transactions without conditions, feeds. It keeps the
 * history of a table for {@code historyMs}. A feed is refused with 410 only if a change of its own
 * table after the given version has been discarded.
 */
final class Store {
  private static final long ANSWER_MS = 4;

  private record Change(long ver, long atMs, String table, String json) {}

  private final ServerSocket listening;
  private final long historyMs;
  private final Map<String, TreeMap<String, String>> tables = new HashMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final Map<String, Long> discarded = new HashMap<>();
  private final Map<String, Set<Socket>> waiting = new HashMap<>();
  private long ver;
  int goneAnswers;

  Store(long historyMs) throws IOException {
    this.historyMs = historyMs;
    listening = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start("store", this::accept);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  synchronized long put(String table, String key, String value) {
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return putEncoded(table, key, base64);
  }

  private long putEncoded(String table, String key, String base64) {
    String json = rowStart(table, key, ++ver) + ",\"value\":\"" + base64 + "\"}";
    tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, json);
    changed(table, json);
    return ver;
  }

  synchronized void remove(String table, String key) {
    tables.computeIfAbsent(table, t -> new TreeMap<>()).remove(key);
    changed(table, rowStart(table, key, ++ver) + ",\"removed\":true}");
  }

  /** Discards the history sooner than {@code historyMs}. */
  synchronized void discardHistory() {
    Record.say("store discards its history up to version %d", ver);
    while (!history.isEmpty()) {
      discardFirst();
    }
  }

  private static String rowStart(String table, String key, long ver) {
    return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key)
        + ",\"ver\":" + ver;
  }

  private void changed(String table, String json) {
    history.addLast(new Change(ver, System.nanoTime() / 1_000_000, table, json));
    notifyAll();
  }

  private void discardFirst() {
    Change c = history.removeFirst();
    discarded.merge(c.table, c.ver, Math::max);
  }

  private void accept() throws IOException {
    while (true) {
      Socket s = listening.accept();
      s.setTcpNoDelay(true);
      Threads.start("store connection", () -> serve(s));
    }
  }

  private void serve(Socket s) throws Exception {
    try (s) {
      var in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      Http.Message m;
      while ((m = Http.read(in)) != null) {
        Thread.sleep(ANSWER_MS);
        String[] statusAndBody = answer(m, s);
        byte[] body = statusAndBody[1].getBytes(StandardCharsets.UTF_8);
        out.write(
            Http.bytes(
                "HTTP/1.1 " + statusAndBody[0] + " X\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
      }
    } catch (IOException e) {
      // The host closed the connection.
    }
  }

  private synchronized String[] answer(Http.Message m, Socket s) throws InterruptedException {
    String target = m.target();
    int q = target.indexOf('?');
    String path = q < 0 ? target : target.substring(0, q);
    Map<String, String> query = new HashMap<>();
    for (String pair : q < 0 ? new String[0] : target.substring(q + 1).split("&")) {
      int eq = pair.indexOf('=');
      query.put(
          pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
    }
    switch (path) {
      case "/v1/rows-tx":
        return transact(new String(m.body, StandardCharsets.UTF_8));
      case "/v1/rows-get":
        return rows(query);
      case "/v1/rows-feed":
        return feed(query, s);
      default:
        return new String[] {"404", "{}"};
    }
  }

  private String end() {
    return ",\"ver\":" + ver + ",\"nowS\":" + System.nanoTime() / 1e9 + "}";
  }

  private String[] transact(String body) {
    Map<?, ?> call = (Map<?, ?>) Json.parse(body);
    for (Object put : (List<?>) call.get("puts")) {
      Map<?, ?> row = (Map<?, ?>) put;
      putEncoded((String) row.get("table"), (String) row.get("key"), (String) row.get("value"));
    }
    return new String[] {"200", "{\"ok\":true" + end()};
  }

  private String[] rows(Map<String, String> query) {
    List<String> found =
        new ArrayList<>(
            tables
                .computeIfAbsent(query.get("table"), t -> new TreeMap<>())
                .tailMap(query.getOrDefault("from", ""), true)
                .values());
    return new String[] {
      "200", "{\"rows\":[" + String.join(",", found) + "],\"morePages\":false" + end()
    };
  }

  /** Counts the feeds of a table that wait for a change, on connections that are still open. */
  synchronized int watching(String table) {
    int open = 0;
    for (Socket s : waiting.getOrDefault(table, Set.of())) {
      try {
        s.setSoTimeout(1);
        open += s.getInputStream().read() < 0 ? 0 : 1;
      } catch (java.net.SocketTimeoutException e) {
        open++;
      } catch (IOException e) {
        // Reset by the host.
      }
      try {
        s.setSoTimeout(0);
      } catch (IOException e) {
        // Closed.
      }
    }
    return open;
  }

  private String[] feed(Map<String, String> query, Socket s) throws InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.get("after"));
    long waitMs = Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
    long endMs = System.nanoTime() / 1_000_000 + waitMs;
    while (true) {
      long nowMs = System.nanoTime() / 1_000_000;
      while (!history.isEmpty() && nowMs - history.peekFirst().atMs > historyMs) {
        discardFirst();
      }
      if (discarded.getOrDefault(table, 0L) > after) {
        goneAnswers++;
        Record.say("store answers 410 to rows-feed table=%s after=%d", table, after);
        return new String[] {"410", "{}"};
      }
      List<String> found = new ArrayList<>();
      for (Change c : history) {
        if (c.ver > after && c.table.equals(table)) {
          found.add(c.json);
        }
      }
      if (!found.isEmpty() || nowMs >= endMs) {
        return new String[] {"200", "{\"rows\":[" + String.join(",", found) + "]" + end()};
      }
      Set<Socket> sockets = waiting.computeIfAbsent(table, t -> new HashSet<>());
      sockets.add(s);
      try {
        wait(Math.max(1, endMs - nowMs));
      } finally {
        sockets.remove(s);
      }
    }
  }
}
