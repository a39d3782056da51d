package dev.cactusstack.host.callers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.ServiceName;
import dev.cactusstack.settings.CallerListenerSettings;
import dev.cactusstack.settings.Network;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Answers callers' look-ups of entry hosts; passes on every other request. Thread-safe. */
final class EntryLookupFilter implements HttpHandler {
  static final String PATH = "/.well-known/cactusstack/entries";

  private final CallerListenerSettings settings;
  private final Supplier<RoutingView> view;
  private final Supplier<Random> random;
  private final HttpHandler next;

  EntryLookupFilter(
      CallerListenerSettings settings,
      Supplier<RoutingView> view,
      Supplier<Random> random,
      HttpHandler next) {
    this.settings = settings;
    this.view = view;
    this.random = random;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange x) throws Exception {
    if (!x.getRequestPath().equals(PATH)) {
      next.handleRequest(x);
      return;
    }
    if (!x.getRequestMethod().equals(Methods.GET) && !x.getRequestMethod().equals(Methods.HEAD)) {
      ProblemResponses.send(x, Problem.invalid("a look-up is a GET request", "use GET"), Outcome.NOT_RUN);
      return;
    }
    Deque<String> names = x.getQueryParameters().get("service");
    Result<ServiceName> service =
        names == null
            ? Result.failure(
                Problem.invalid("the look-up names no service", "add ?service=NAME to the address"))
            : ServiceName.parse(names.getFirst());
    RoutingView v = view.get();
    service
        .flatMap(s -> requireKnown(v, s))
        .fold(
            p -> {
              ProblemResponses.send(x, p, Outcome.NOT_RUN);
              return true;
            },
            s -> {
              respond(x, v);
              return true;
            });
  }

  private static Result<ServiceName> requireKnown(RoutingView v, ServiceName s) {
    return v.contains(s) ? Result.success(s) : Result.failure(unknownService(v, s));
  }

  static Problem unknownService(RoutingView v, ServiceName s) {
    if (!v.configured()) {
      return new Problem(
          ProblemKind.NO_CONFIGURATION,
          "this host has just started and has no configuration yet",
          "use another entry host; operators check that the platform or another host can be reached");
    }
    return new Problem(
        ProblemKind.UNKNOWN_SERVICE,
        "there is no service '" + s + "'",
        "use a service that 'cactusctl table show' lists");
  }

  private void respond(HttpServerExchange x, RoutingView v) {
    ObjectNode body = Json.newObject();
    ArrayNode list = body.putArray("entries");
    for (EntryEndpoint e : ordered(v, x.getSourceAddress().getAddress())) {
      list.addObject()
          .put("address", e.address().toString())
          .put("data_centre", e.dataCentre().value());
    }
    body.put("ttl_ms", settings.entriesTtlMs());
    long seconds = TimeUnit.MILLISECONDS.toSeconds(settings.entriesTtlMs());
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    x.getResponseHeaders().put(Headers.CACHE_CONTROL, "private, max-age=" + seconds);
    x.getResponseSender().send(ByteBuffer.wrap(Json.toBytes(body)));
  }

  /** The entries of the caller's data centre first; each group in random order. */
  private List<EntryEndpoint> ordered(RoutingView v, InetAddress caller) {
    DataCentre nearest = nearest(v, caller);
    List<EntryEndpoint> near = new ArrayList<>();
    List<EntryEndpoint> far = new ArrayList<>();
    v.entries().forEach(e -> (e.dataCentre().equals(nearest) ? near : far).add(e));
    Collections.shuffle(near, random.get());
    Collections.shuffle(far, random.get());
    near.addAll(far);
    return near;
  }

  private DataCentre nearest(RoutingView v, InetAddress caller) {
    return settings.networks().stream()
        .filter(n -> n.contains(caller.getAddress()))
        .max((a, b) -> Integer.compare(a.prefixLength(), b.prefixLength()))
        .map(Network::dataCentre)
        .orElse(v.home());
  }
}
