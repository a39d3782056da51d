package dev.cactusstack.link;

import dev.cactusstack.link.generated.DataCentreRow;
import dev.cactusstack.link.generated.RouteRow;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.Optional;
import java.util.TreeMap;

/** Translates pages of table rows. Rows that cannot be read are passed over. Stateless. */
final class TableCodec {
  private TableCodec() {}

  static dev.cactusstack.link.generated.ChangesPage encode(LinkBody.ChangesPage p) {
    var b =
        dev.cactusstack.link.generated.ChangesPage.newBuilder()
            .setTableVersion(p.rows().version())
            .setMore(p.hasMore());
    p.rows()
        .routes()
        .values()
        .forEach(
            r ->
                b.addRoutes(
                    RouteRow.newBuilder()
                        .setService(r.key().service().value())
                        .setDataCentre(r.key().dataCentre().value())
                        .setWeight(r.weight())
                        .setLimit(r.limit())
                        .setUpstreamLimit(r.upstreamLimit())
                        .setVersion(r.version())
                        .addAllOperations(r.operations())));
    p.rows()
        .dataCentres()
        .values()
        .forEach(
            d ->
                b.addDataCentres(
                    DataCentreRow.newBuilder()
                        .setDataCentre(d.dataCentre().value())
                        .setOut(d.evacuated())
                        .setVersion(d.version())
                        .addAllOperations(d.operations())));
    return b.build();
  }

  static LinkBody.ChangesPage decode(dev.cactusstack.link.generated.ChangesPage p) {
    var routes = new TreeMap<RouteKey, Route>();
    p.getRoutesList().forEach(r -> route(r).ifPresent(x -> routes.put(x.key(), x)));
    var dataCentres = new TreeMap<DataCentre, dev.cactusstack.model.DataCentreRow>();
    p.getDataCentresList()
        .forEach(d -> dataCentre(d).ifPresent(x -> dataCentres.put(x.dataCentre(), x)));
    return new LinkBody.ChangesPage(
        new ConfigurationTable(p.getTableVersion(), routes, dataCentres), p.getMore());
  }

  private static Optional<Route> route(RouteRow r) {
    boolean inRange =
        isValid(RouteColumn.WEIGHT, r.getWeight())
            && isValid(RouteColumn.LIMIT, r.getLimit())
            && isValid(RouteColumn.UPSTREAM_LIMIT, r.getUpstreamLimit());
    if (!inRange) {
      return Optional.empty();
    }
    return ServiceName.parse(r.getService())
        .toOptional()
        .flatMap(s -> DataCentre.parse(r.getDataCentre()).toOptional().map(d -> new RouteKey(s, d)))
        .map(
            k ->
                new Route(
                    k,
                    r.getWeight(),
                    r.getLimit(),
                    r.getUpstreamLimit(),
                    r.getVersion(),
                    r.getOperationsList()));
  }

  private static boolean isValid(RouteColumn column, int v) {
    return column.parse(Integer.toString(v)).toOptional().isPresent();
  }

  private static Optional<dev.cactusstack.model.DataCentreRow> dataCentre(DataCentreRow d) {
    return DataCentre.parse(d.getDataCentre())
        .toOptional()
        .map(
            x ->
                new dev.cactusstack.model.DataCentreRow(
                    x, d.getOut(), d.getVersion(), d.getOperationsList()));
  }
}
