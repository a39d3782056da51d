package dev.cactusstack.host.operators;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.decisions.recovery.ChangePlan;
import dev.cactusstack.host.control.EditService;
import dev.cactusstack.host.observe.Metrics;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Result;
import dev.cactusstack.settings.OperatorListenerSettings;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/** The port for operators. Thread-safe. */
public final class OperatorsServer implements AutoCloseable {
  private static final long MAX_BODY_BYTES = 8L << 20;
  private static final String DATA_CENTRES = "/v1/data-centres/";
  private static final String CONTENT_SECURITY_POLICY =
      "default-src 'self'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'";

  private final OperatorsView view;
  private final EditService edits;
  private final Metrics metrics;
  private final Undertow server;

  /**
   * Creates a server that is not yet started.
   *
   * @param settings the port's settings
   * @param tls the server's key, if the port uses TLS
   * @param view renders what operators ask to see
   * @param edits commits changes
   * @param metrics what {@code /metrics} shows
   */
  public OperatorsServer(
      OperatorListenerSettings settings,
      Optional<SSLContext> tls,
      OperatorsView view,
      EditService edits,
      Metrics metrics) {
    Objects.requireNonNull(settings, "settings is null");
    this.view = Objects.requireNonNull(view, "view is null");
    this.edits = Objects.requireNonNull(edits, "edits is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    HttpHandler api = new TokenFilter(settings.token(), this::route);
    Undertow.Builder b =
        Undertow.builder()
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
            .setHandler(new PageFilter(CONTENT_SECURITY_POLICY, api));
    int port = settings.address().port();
    String ip = settings.address().ip();
    this.server =
        tls.isPresent()
            ? b.addHttpsListener(port, ip, tls.get()).build()
            : b.addHttpListener(port, ip).build();
  }

  /** Starts to serve. */
  public void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop();
  }

  private void route(HttpServerExchange x) {
    String path = x.getRequestPath();
    if (x.getRequestMethod().equals(Methods.POST)) {
      handleChange(x, path);
      return;
    }
    if (!x.getRequestMethod().equals(Methods.GET)) {
      JsonResponses.problem(x, Problem.invalid("the method is not served here", "use GET or POST"));
      return;
    }
    switch (path) {
      case "/v1/table" -> sendJson(x, view::table);
      case "/v1/in-force" -> sendJson(x, view::inForce);
      case "/v1/status" -> sendJson(x, view::status);
      case "/metrics" -> {
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        x.getResponseSender().send(metrics.scrape());
      }
      default -> notFound(x);
    }
  }

  private static void sendJson(HttpServerExchange x, Supplier<ObjectNode> content) {
    JsonResponses.send(x, 200, content.get());
  }

  private static void notFound(HttpServerExchange x) {
    JsonResponses.problem(
        x,
        new Problem(
            ProblemKind.NOT_FOUND,
            "there is no " + x.getRequestPath(),
            "see docs/operations/operators-port.md for the paths"));
  }

  private void handleChange(HttpServerExchange x, String path) {
    if (path.equals("/v1/edits")) {
      commit(x, body -> EditParser.parseEdits(body).map(p -> p));
    } else if (path.startsWith(DATA_CENTRES)) {
      String name = path.substring(DATA_CENTRES.length());
      commit(x, body -> EditParser.parseDataCentrePlan(name, body).map(p -> p));
    } else {
      notFound(x);
    }
  }

  private void commit(HttpServerExchange x, Function<byte[], Result<ChangePlan>> parse) {
    x.getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                parse
                    .apply(body)
                    .fold(
                        p -> {
                          JsonResponses.problem(ex, p);
                          return true;
                        },
                        plan -> {
                          ex.dispatch(SameThreadExecutor.INSTANCE, () -> commitAndRespond(ex, plan));
                          return true;
                        }),
            (ex, e) ->
                JsonResponses.problem(
                    ex,
                    new Problem(
                        ProblemKind.BODY_TOO_LARGE,
                        "the change did not arrive whole",
                        "send less")));
  }

  private void commitAndRespond(HttpServerExchange x, ChangePlan plan) {
    edits.commit(plan).thenAccept(o -> x.getIoThread().execute(() -> JsonResponses.outcome(x, o)));
  }

  /** Serves the page's files, which hold no data, to everyone. Stateless. */
  private record PageFilter(String policy, HttpHandler next) implements HttpHandler {
    @Override
    public void handleRequest(HttpServerExchange x) throws Exception {
      Optional<PageFile> file = PageFile.at(x.getRequestPath());
      if (file.isEmpty()) {
        next.handleRequest(x);
        return;
      }
      x.getResponseHeaders().put(Headers.CONTENT_TYPE, file.get().type());
      x.getResponseHeaders().put(new HttpString("Content-Security-Policy"), policy);
      x.getResponseHeaders().put(new HttpString("X-Content-Type-Options"), "nosniff");
      x.getResponseSender().send(file.get().text());
    }
  }
}
