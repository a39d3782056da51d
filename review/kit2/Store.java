import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store, in the form "table": rows only, in memory, linearizable. */
final class Store implements AutoCloseable {
  private record Row(String table, String part, String key, String value, long ver, boolean removed) {
    String json() {
      return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
          + Json.quote(key) + ",\"ver\":" + ver
          + (removed ? ",\"removed\":true}" : ",\"value\":" + Json.quote(value) + "}");
    }
  }

  private final ServerSocket listener;
  private final Rig rig;
  private final Map<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private long ver = 1;
  private final long startedNs = System.nanoTime();
  volatile int calls;

  Store(Rig rig, String ip) throws IOException {
    this.rig = rig;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 512);
    rig.thread("store", this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  private static String id(String table, String part, String key) {
    return table + '\0' + part + '\0' + key;
  }

  /** Writes a row as the operator or a server does. */
  synchronized long put(String table, String key, String json) {
    return apply(new Row(table, "", key, base64(json), ++ver, false));
  }

  synchronized long remove(String table, String key) {
    return apply(new Row(table, "", key, "", ++ver, true));
  }

  private long apply(Row row) {
    if (row.removed()) {
      rows.remove(id(row.table(), row.part(), row.key()));
    } else {
      rows.put(id(row.table(), row.part(), row.key()), row);
    }
    history.add(row);
    notifyAll();
    return row.ver();
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  synchronized int count(String table) {
    return (int) rows.values().stream().filter(r -> r.table().equals(table)).count();
  }

  private void accept() throws IOException {
    while (!listener.isClosed()) {
      Socket s = listener.accept();
      s.setTcpNoDelay(true);
      rig.thread("store call", () -> serve(s));
    }
  }

  private void serve(Socket s) throws IOException {
    try (s) {
      var in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      while (true) {
        Http.Message call = Http.read(in);
        if (call == null) {
          return;
        }
        calls++;
        String answer = answer(call);
        int status = 200;
        if (answer.startsWith("#")) {
          status = Integer.parseInt(answer.substring(1, 4));
          answer = answer.substring(4);
        }
        byte[] body = answer.getBytes(StandardCharsets.UTF_8);
        out.write(Http.head("HTTP/1.1 " + status + " X", "Content-Type: application/json",
            "Content-Length: " + body.length));
        out.write(body);
        out.flush();
      }
    }
  }

  private String tail() {
    return "\"ver\":" + ver + ",\"nowS\":" + (System.nanoTime() - startedNs) / 1e9 + "}";
  }

  private String answer(Http.Message call) {
    String path = call.target().split("\\?")[0];
    Map<String, String> q = new HashMap<>();
    if (call.target().contains("?")) {
      for (String pair : call.target().split("\\?", 2)[1].split("&")) {
        String[] kv = pair.split("=", 2);
        q.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
      }
    }
    return switch (path) {
      case "/v1/rows-get" -> get(q);
      case "/v1/rows-feed" -> feed(q);
      case "/v1/rows-tx" -> transact(new String(call.body, StandardCharsets.UTF_8));
      default -> "#404{}";
    };
  }

  private synchronized String get(Map<String, String> q) {
    int limit = Integer.parseInt(q.getOrDefault("limit", "500"));
    String from = q.getOrDefault("from", "");
    String to = q.getOrDefault("to", "");
    List<Row> found =
        rows.values().stream()
            .filter(r -> r.table().equals(q.get("table")) && r.part().equals(q.getOrDefault("part", "")))
            .filter(r -> r.key().compareTo(from) >= 0 && (to.isEmpty() || r.key().compareTo(to) < 0))
            .sorted(Comparator.comparing(Row::key))
            .toList();
    List<String> page = found.stream().limit(limit).map(Row::json).toList();
    return "{\"rows\":[" + String.join(",", page) + "],\"morePages\":" + (found.size() > limit) + "," + tail();
  }

  private synchronized String feed(Map<String, String> q) {
    long after = Long.parseLong(q.get("after"));
    long endNs = System.nanoTime() + Long.parseLong(q.getOrDefault("waitMs", "0")) * 1_000_000;
    while (true) {
      List<String> changed = new ArrayList<>();
      for (Row r : history) {
        if (r.ver() > after && r.table().equals(q.get("table"))) {
          changed.add(r.json());
        }
      }
      long leftMs = (endNs - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || leftMs <= 0) {
        return "{\"rows\":[" + String.join(",", changed) + "]," + tail();
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized String transact(String body) {
    var tx = (Map<String, Object>) Json.parse(body);
    for (Object o : (List<Object>) tx.getOrDefault("expectedRev", List.of())) {
      var e = (Map<String, Object>) o;
      Row known = rows.get(id((String) e.get("table"), (String) e.get("part"), (String) e.get("key")));
      if (((Double) e.get("ver")).longValue() != (known == null ? 0 : known.ver())) {
        return "#412{\"rows\":[" + (known == null ? "" : known.json()) + "]," + tail();
      }
    }
    ver++;
    for (Object o : (List<Object>) tx.getOrDefault("puts", List.of())) {
      var p = (Map<String, Object>) o;
      apply(new Row((String) p.get("table"), (String) p.get("part"), (String) p.get("key"),
          (String) p.get("value"), ver, false));
    }
    for (Object o : (List<Object>) tx.getOrDefault("remove", List.of())) {
      var p = (Map<String, Object>) o;
      apply(new Row((String) p.get("table"), (String) p.get("part"), (String) p.get("key"), "", ver, true));
    }
    return "{" + tail();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
