package dev.cactusstack.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Translates rows of the table service and entries of the host list.
 *
 * <p>Keys are {@code route/SERVICE/DATA_CENTRE} and {@code data-centre/NAME}. Rows of other keys,
 * or with values that cannot be read, are passed over. Stateless and thread-safe.
 */
final class RowCodec {
  private static final String ROUTE_PREFIX = "route/";
  private static final String DATA_CENTRE_PREFIX = "data-centre/";

  private RowCodec() {}

  static ConfigurationTable decodeTable(JsonNode page) {
    var routes = new TreeMap<RouteKey, Route>();
    var dataCentres = new TreeMap<DataCentre, DataCentreRow>();
    for (JsonNode row : page.path("rows")) {
      String key = row.path("key").asText();
      decodeRoute(key, row).ifPresent(r -> routes.put(r.key(), r));
      decodeDataCentre(key, row).ifPresent(d -> dataCentres.put(d.dataCentre(), d));
    }
    return new ConfigurationTable(page.path("revision").asLong(), routes, dataCentres);
  }

  private static Optional<Route> decodeRoute(String key, JsonNode row) {
    String[] parts = key.split("/", -1);
    if (!key.startsWith(ROUTE_PREFIX) || parts.length != 3) {
      return Optional.empty();
    }
    JsonNode v = row.path("value");
    return ServiceName.parse(parts[1])
        .toOptional()
        .flatMap(s -> DataCentre.parse(parts[2]).toOptional().map(d -> new RouteKey(s, d)))
        .filter(k -> hasAllColumns(v))
        .map(
            k ->
                new Route(
                    k,
                    v.path(RouteColumn.WEIGHT.label()).asInt(),
                    v.path(RouteColumn.LIMIT.label()).asInt(),
                    v.path(RouteColumn.UPSTREAM_LIMIT.label()).asInt(),
                    row.path("version").asLong(),
                    decodeOperations(v)));
  }

  private static boolean hasAllColumns(JsonNode value) {
    for (RouteColumn c : RouteColumn.values()) {
      if (!value.path(c.label()).isInt()
          || c.parse(value.path(c.label()).asText()).toOptional().isEmpty()) {
        return false;
      }
    }
    return true;
  }

  private static Optional<DataCentreRow> decodeDataCentre(String key, JsonNode row) {
    if (!key.startsWith(DATA_CENTRE_PREFIX)) {
      return Optional.empty();
    }
    JsonNode v = row.path("value");
    return DataCentre.parse(key.substring(DATA_CENTRE_PREFIX.length()))
        .toOptional()
        .map(
            d ->
                new DataCentreRow(
                    d, v.path("out").asBoolean(), row.path("version").asLong(), decodeOperations(v)));
  }

  private static List<String> decodeOperations(JsonNode value) {
    var ids = new ArrayList<String>();
    value.path("operations").forEach(n -> ids.add(n.asText()));
    return ids;
  }

  static byte[] encodeTransaction(List<Route> routes, List<DataCentreRow> dataCentres) {
    ObjectNode t = Json.newObject();
    routes.forEach(
        r -> {
          ObjectNode w = addWrite(t, ROUTE_PREFIX + r.key(), r.version(), r.operations());
          for (RouteColumn c : RouteColumn.values()) {
            w.put(c.label(), r.get(c));
          }
        });
    dataCentres.forEach(
        d ->
            addWrite(t, DATA_CENTRE_PREFIX + d.dataCentre(), d.version(), d.operations())
                .put("out", d.evacuated()));
    return Json.toBytes(t);
  }

  private static ObjectNode addWrite(ObjectNode t, String key, long version, List<String> operations) {
    t.withArray("checks").addObject().put("key", key).put("version", version);
    ObjectNode value = t.withArray("writes").addObject().put("key", key).putObject("value");
    operations.forEach(value.withArray("operations")::add);
    return value;
  }

  static HostChanges decodeHosts(JsonNode page) {
    var hosts = new ArrayList<ListedHost>();
    page.path("hosts").forEach(n -> decodeHost(n).ifPresent(hosts::add));
    var removed = new ArrayList<Address>();
    page.path("removed")
        .forEach(n -> Address.parse(n.asText()).toOptional().ifPresent(removed::add));
    return new HostChanges(
        page.path("revision").asLong(), page.path("whole").asBoolean(), hosts, removed);
  }

  private static Optional<ListedHost> decodeHost(JsonNode n) {
    boolean upstream = n.path("role").asText().equals("upstream");
    Optional<ServiceName> service = ServiceName.parse(n.path("service").asText()).toOptional();
    if (upstream && service.isEmpty()) {
      return Optional.empty();
    }
    return Address.parse(n.path("address").asText())
        .toOptional()
        .flatMap(
            a ->
                DataCentre.parse(n.path("data_centre").asText())
                    .toOptional()
                    .map(
                        d ->
                            new ListedHost(
                                upstream ? ListedHost.Role.UPSTREAM : ListedHost.Role.ENTRY,
                                a,
                                d,
                                service,
                                n.path("state").asText().equals("leaving"))));
  }
}
