package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Chooses the data centre of a request: by the service's split, unless that data centre is short of
 * room and another is not; then by the operators' weights among those with room. Stateless.
 */
final class Destinations {
  private Destinations() {}

  static Optional<RouteKey> choose(
      RoutingView view,
      ServiceName service,
      Set<DataCentre> failed,
      RemoteLoads loads,
      Random random) {
    TrafficSplit split = view.splits().get(service);
    if (split == null) {
      return Optional.empty();
    }
    Optional<RouteKey> first =
        split
            .choose(random.nextDouble())
            .map(d -> new RouteKey(service, d))
            .filter(k -> isUsable(view, k, failed));
    if (first.isPresent() && !isBusy(view, first.get(), loads)) {
      return first;
    }
    Optional<RouteKey> spill =
        byWeight(
            usable(view, service, failed).stream()
                .filter(r -> hasRoom(view, r.key(), loads))
                .toList(),
            random);
    return spill.or(() -> first).or(() -> byWeight(usable(view, service, failed), random));
  }

  private static List<Route> usable(RoutingView view, ServiceName service, Set<DataCentre> failed) {
    return view.table().routesOf(service).stream()
        .filter(r -> isUsable(view, r.key(), failed))
        .toList();
  }

  private static boolean isUsable(RoutingView view, RouteKey k, Set<DataCentre> failed) {
    return !failed.contains(k.dataCentre())
        && view.owners().containsKey(k)
        && !view.table().isOut(k.dataCentre())
        && view.table().route(k).filter(r -> r.weight() > 0).isPresent();
  }

  private static boolean isBusy(RoutingView view, RouteKey k, RemoteLoads loads) {
    return view.owner(k).orElse(null) instanceof RouteOwner.Local l
        ? l.scheduler().waiting() > 0 || l.scheduler().inFlight() >= l.scheduler().capacity()
        : loads.isBusy(k);
  }

  private static boolean hasRoom(RoutingView view, RouteKey k, RemoteLoads loads) {
    return view.owner(k).orElse(null) instanceof RouteOwner.Local l
        ? l.scheduler().inFlight() < l.scheduler().capacity()
        : loads.hasRoom(k);
  }

  private static Optional<RouteKey> byWeight(List<Route> routes, Random random) {
    int sum = routes.stream().mapToInt(Route::weight).sum();
    if (sum <= 0) {
      return Optional.empty();
    }
    int draw = random.nextInt(sum);
    for (Route r : routes) {
      draw -= r.weight();
      if (draw < 0) {
        return Optional.of(r.key());
      }
    }
    return Optional.empty();
  }
}
