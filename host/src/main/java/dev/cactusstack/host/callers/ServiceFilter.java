package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Result;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Finds out which service a request is for, and runs it. Thread-safe. */
final class ServiceFilter implements HttpHandler {
  /** RFC 9110, section 9.2.2. */
  private static final Set<HttpString> IDEMPOTENT =
      Set.of(
          Methods.GET, Methods.HEAD, Methods.OPTIONS, Methods.TRACE, Methods.PUT, Methods.DELETE);

  private static final Pattern DEADLINE_FORM = Pattern.compile("[0-9]{1,9}");

  private final DataPathContext path;

  ServiceFilter(DataPathContext path) {
    this.path = path;
  }

  @Override
  public void handleRequest(HttpServerExchange x) {
    long arrived = path.ticker().nanos();
    if (x.getRequestMethod().equals(Methods.CONNECT)) {
      ProblemResponses.send(
          x, Problem.invalid("CONNECT is not served", "use another method"), Outcome.NOT_RUN);
      return;
    }
    service(x)
        .flatMap(s -> facts(x, s, arrived))
        .fold(
            p -> {
              ProblemResponses.send(x, p, Outcome.NOT_RUN);
              return true;
            },
            f -> {
              run(x, f);
              return true;
            });
  }

  private Result<ServiceName> service(HttpServerExchange x) {
    String host = x.getRequestHeaders().getFirst(Headers.HOST);
    if (host == null) {
      return Result.failure(Problem.invalid("the request has no Host", "send 'Host: SERVICE'"));
    }
    String name = host.split("[.:]", 2)[0].toLowerCase(Locale.ROOT);
    return ServiceName.parse(name)
        .flatMap(
            s -> {
              RoutingView v = path.view().get();
              return v.contains(s)
                  ? Result.success(s)
                  : Result.failure(EntryLookupFilter.unknownService(v, s));
            });
  }

  private Result<RequestAttributes> facts(HttpServerExchange x, ServiceName s, long arrived) {
    String token = x.getRequestHeaders().getFirst(CactusHeaders.FORWARDED);
    if (token == null || !path.token().verify(token)) {
      path.arrivals().recordArrival(s);
      return Result.success(facts(x, s, arrived, Optional.empty()));
    }
    return ownedDataCentre(x, s).map(d -> facts(x, s, arrived, Optional.of(d)));
  }

  private static RequestAttributes facts(
      HttpServerExchange x, ServiceName s, long arrived, Optional<DataCentre> forwardedTo) {
    HeaderMap h = x.getRequestHeaders();
    return new RequestAttributes(
        s,
        IDEMPOTENT.contains(x.getRequestMethod()),
        x.isRequestComplete(),
        forwardedTo,
        forwardedTo.isPresent() && h.contains(CactusHeaders.MAY_REFUSE),
        h.contains(CactusHeaders.RETRY),
        arrived,
        deadline(h.getFirst(CactusHeaders.DEADLINE), arrived));
  }

  /** A deadline that cannot be read counts as none. */
  private static long deadline(@Nullable String ms, long arrived) {
    if (ms == null || !DEADLINE_FORM.matcher(ms).matches()) {
      return RequestAttributes.NO_DEADLINE;
    }
    return arrived + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(ms));
  }

  /** A request that was passed on is accepted only by the owner of its route. */
  private Result<DataCentre> ownedDataCentre(HttpServerExchange x, ServiceName s) {
    String name = x.getRequestHeaders().getFirst(CactusHeaders.DATA_CENTRE);
    return DataCentre.parse(name == null ? "" : name)
        .flatMap(
            d -> {
              var owner = path.view().get().owner(new RouteKey(s, d));
              return owner.orElse(null) instanceof RouteOwner.Local
                  ? Result.success(d)
                  : Result.failure(
                      new Problem(
                          ProblemKind.MISDIRECTED,
                          "this host does not own " + s + "/" + d,
                          "wait until the members agree; the sender repeats the request"));
            });
  }

  private void run(HttpServerExchange x, RequestAttributes facts) {
    x.dispatch(SameThreadExecutor.INSTANCE, () -> new RequestExecution(x, facts, path).start());
  }
}
