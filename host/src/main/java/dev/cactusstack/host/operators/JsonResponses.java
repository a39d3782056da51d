package dev.cactusstack.host.operators;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteColumn;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;

/** Writes JSON answers for operators. Stateless. */
final class JsonResponses {
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private JsonResponses() {}

  static void send(HttpServerExchange x, int status, JsonNode body) {
    x.setStatusCode(status);
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    x.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
    x.getResponseSender().send(ByteBuffer.wrap(Json.toBytes(body)));
  }

  static void problem(HttpServerExchange x, Problem p) {
    send(x, p.kind().status(), problemFields(p).put("outcome", "not-accepted"));
  }

  static void outcome(HttpServerExchange x, EditOutcome o) {
    if (o instanceof EditOutcome.Accepted a) {
      send(x, OK, Json.newObject().put("outcome", "accepted").put("version", a.version()));
    } else if (o instanceof EditOutcome.Conflict c) {
      send(x, CONFLICT, conflictBody(c));
    } else if (o instanceof EditOutcome.NotAccepted n) {
      problem(x, n.problem());
    } else if (o instanceof EditOutcome.Unknown u) {
      ObjectNode n = problemFields(u.problem()).put("outcome", "unknown").put("operation", u.operation());
      send(x, u.problem().kind().status(), n);
    }
  }

  private static ObjectNode problemFields(Problem p) {
    return Json.newObject()
        .put("kind", p.kind().label())
        .put("message", p.message())
        .put("remedy", p.remedy());
  }

  private static ObjectNode conflictBody(EditOutcome.Conflict c) {
    ObjectNode n = Json.newObject().put("outcome", "conflict");
    ArrayNode list = n.putArray("conflicts");
    c.rowConflicts()
        .forEach(
            s -> {
              ObjectNode o = list.addObject();
              o.set("mine", row(s.mine()));
              o.set("theirs", row(s.theirs()));
            });
    return n;
  }

  static ObjectNode row(Route r) {
    ObjectNode n =
        Json.newObject()
            .put("service", r.key().service().value())
            .put("data_centre", r.key().dataCentre().value());
    for (RouteColumn c : RouteColumn.values()) {
      n.put(c.label(), r.get(c));
    }
    return n.put("version", r.version());
  }
}
