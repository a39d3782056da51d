package dev.cactusstack.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.xnio.IoUtils;

/**
 * The platform's table service, object store and host list in memory, over HTTP, with configurable
 * faults.
 *
 * <p>Interface: {@code GET /v1/rows?after=N}, {@code GET /v1/row?key=K}, {@code POST
 * /v1/transactions}, {@code GET /v1/hosts?after=N}, {@code PUT|DELETE /v1/hosts/ADDRESS}, {@code
 * GET|PUT /v1/objects/NAME} and {@code PUT /v1/faults}. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 8;

  /** Request and response headers, and the packets that open and close a connection. */
  private static final int OVERHEAD_BYTES_PER_REQUEST = 800;

  private static final String HOSTS_PATH = "/v1/hosts/";
  private static final String OBJECTS_PATH = "/v1/objects/";

  private final InMemoryTable table = new InMemoryTable();
  private final InMemoryTable claims = new InMemoryTable();
  private final HostRegistry hosts = new HostRegistry();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final LongAdder responseBytes = new LongAdder();
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private final Undertow server;

  private PlatformStandIn(int port) {
    server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(WORKER_THREADS)
            .setHandler(this::dispatch)
            .build();
  }

  /**
   * Starts a platform stand-in on loopback.
   *
   * @param port the port to listen on, 0 for any free port
   * @return the running stand-in
   */
  public static PlatformStandIn start(int port) {
    var standIn = new PlatformStandIn(port);
    standIn.server.start();
    return standIn;
  }

  /**
   * Returns the port that the stand-in listens on.
   *
   * @return the port number
   */
  public int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  /**
   * Replaces the simulated faults.
   *
   * @param newFaults the faults to simulate from now on
   */
  public synchronized void setFaults(PlatformFaults newFaults) {
    faults = Objects.requireNonNull(newFaults, "next is null");
  }

  /**
   * Writes rows without checking their versions.
   *
   * @param writes a transaction's {@code writes}, each with {@code key} and {@code value}
   */
  public void writeRows(ArrayNode writes) {
    ObjectNode transaction = Json.newObject();
    transaction.set("writes", writes);
    table.commit(transaction);
  }

  /**
   * Adds a host to the host list, or replaces its entry.
   *
   * @param address the host's address
   * @param entry the fields of the entry
   */
  public void registerHost(String address, JsonNode entry) {
    hosts.put(address, (ObjectNode) entry);
  }

  /**
   * Removes a host from the host list.
   *
   * @param address the host's address
   */
  public void deregisterHost(String address) {
    hosts.remove(address);
  }

  @Override
  public void close() {
    server.stop();
  }

  private void dispatch(HttpServerExchange x) {
    HttpHandler blocking = this::handle;
    x.dispatch(blocking);
  }

  private void handle(HttpServerExchange x) throws Exception {
    PlatformFaults f = faults;
    if (x.getRequestPath().equals("/v1/faults")) {
      updateFaults(x);
      return;
    }
    if (f.down() || f.tableDown() && isTablePath(x.getRequestPath())) {
      IoUtils.safeClose(x.getConnection());
      return;
    }
    if (f.responseDelayMs() > 0) {
      TimeUnit.MILLISECONDS.sleep(f.responseDelayMs());
    }
    String path = x.getRequestPath();
    if (path.equals("/v1/rows")) {
      reply(x, 200, tableFor(x).changesAfter(afterRevision(x)));
    } else if (path.equals("/v1/row")) {
      reply(x, 200, tableFor(x).row(queryValue(x, "key")));
    } else if (path.equals("/v1/transactions")) {
      transact(x);
    } else if (path.equals("/v1/hosts")) {
      reply(x, 200, hosts.changesAfter(afterRevision(x)));
    } else if (path.startsWith(HOSTS_PATH)) {
      updateHost(x, path.substring(HOSTS_PATH.length()));
    } else if (path.startsWith(OBJECTS_PATH)) {
      handleObject(x, path.substring(OBJECTS_PATH.length()));
    } else {
      reply(x, 404, Json.newObject().put("error", "no such resource"));
    }
  }

  private static boolean isTablePath(String path) {
    return path.equals("/v1/rows") || path.equals("/v1/row") || path.equals("/v1/transactions");
  }

  private InMemoryTable tableFor(HttpServerExchange x) {
    return queryValue(x, "table").equals("claims") ? claims : table;
  }

  private static String queryValue(HttpServerExchange x, String name) {
    Deque<String> values = x.getQueryParameters().get(name);
    return values == null ? "" : values.getFirst();
  }

  private static long afterRevision(HttpServerExchange x) {
    String after = queryValue(x, "after");
    return after.isEmpty() ? 0 : Long.parseLong(after);
  }

  private static JsonNode readBody(HttpServerExchange x) throws Exception {
    x.startBlocking();
    return Json.parse(x.getInputStream().readAllBytes()).orElse(Json.newObject());
  }

  private void transact(HttpServerExchange x) throws Exception {
    OptionalLong revision = tableFor(x).commit(readBody(x));
    if (consumeLostResponse()) {
      IoUtils.safeClose(x.getConnection());
    } else if (revision.isPresent()) {
      reply(x, 200, Json.newObject().put("revision", revision.getAsLong()));
    } else {
      reply(x, 409, Json.newObject().put("error", "a row has another version"));
    }
  }

  private synchronized boolean consumeLostResponse() {
    PlatformFaults f = faults;
    if (f.lostResponses() == 0) {
      return false;
    }
    faults =
        new PlatformFaults(f.down(), f.responseDelayMs(), f.lostResponses() - 1, f.tableDown());
    return true;
  }

  private void updateHost(HttpServerExchange x, String address) throws Exception {
    if (x.getRequestMethod().equalToString("DELETE")) {
      deregisterHost(address);
    } else {
      registerHost(address, readBody(x));
    }
    reply(x, 200, Json.newObject());
  }

  private void handleObject(HttpServerExchange x, String name) throws Exception {
    if (x.getRequestMethod().equalToString("PUT")) {
      x.startBlocking();
      objects.put(name, x.getInputStream().readAllBytes());
      reply(x, 200, Json.newObject());
      return;
    }
    byte[] content = objects.get(name);
    if (content == null) {
      reply(x, 404, Json.newObject().put("error", "no such object"));
      return;
    }
    x.getResponseSender().send(ByteBuffer.wrap(content));
  }

  private void updateFaults(HttpServerExchange x) throws Exception {
    JsonNode n = readBody(x);
    setFaults(
        new PlatformFaults(
            n.path("down").asBoolean(),
            n.path("slow_ms").asLong(),
            n.path("lose_answers").asInt(),
            n.path("table_down").asBoolean()));
    reply(x, 200, Json.newObject());
  }

  /**
   * Returns the bytes of all responses since the start, including an estimated overhead for each
   * request.
   *
   * @return the count
   */
  public long responseBytes() {
    return responseBytes.sum();
  }

  private void reply(HttpServerExchange x, int status, JsonNode content) {
    byte[] body = Json.toBytes(content);
    responseBytes.add(body.length + OVERHEAD_BYTES_PER_REQUEST);
    x.setStatusCode(status);
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    x.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
