package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * The data centres that one request may go to, in order of preference: the one that the service's
 * split draws, then the others in an order drawn by the operators' weights.
 *
 * <p>A data centre without a free place is left for another one only when the expected wait is
 * longer than the round trip to the other. When none has a free place, the request waits where the
 * wait is expected to be shortest, round trip included. Confined to one thread.
 */
final class Destinations {
  private static final double UNKNOWN_WAIT_MS = 1_000;

  private final ServiceName service;
  private final RemoteLoads loads;
  private final Random random;
  private final Set<DataCentre> failed = new HashSet<>();
  private final Set<DataCentre> asked = new HashSet<>();
  private Optional<DataCentre> first = Optional.empty();

  /** Where to send a request, and whether it may be refused there. */
  record Choice(RouteKey key, RouteOwner owner, boolean mayRefuse) {}

  Destinations(ServiceName service, RemoteLoads loads, Random random) {
    this.service = service;
    this.loads = loads;
    this.random = random;
  }

  /** Leaves out a data centre whose owner could not be used. */
  void failed(DataCentre d) {
    failed.add(d);
  }

  /** Notes that a data centre had no free place. */
  void refused(DataCentre d) {
    asked.add(d);
  }

  /** Chooses a data centre; {@code mayAsk} tells whether a refusal would cost nothing. */
  Optional<Choice> next(RoutingView view, boolean mayAsk) {
    List<Route> usable =
        view.table().routesOf(service).stream().filter(r -> isUsable(view, r)).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    if (mayAsk) {
      Optional<RouteKey> free = nextToAsk(view, usable);
      if (free.isPresent()) {
        return free.flatMap(k -> choice(view, k, true));
      }
    }
    return shortestWait(view, usable).flatMap(k -> choice(view, k, false));
  }

  private static Optional<Choice> choice(RoutingView view, RouteKey k, boolean mayRefuse) {
    return view.owner(k).map(o -> new Choice(k, o, mayRefuse));
  }

  private boolean isUsable(RoutingView view, Route r) {
    return r.weight() > 0
        && !failed.contains(r.key().dataCentre())
        && view.owners().containsKey(r.key());
  }

  private Optional<RouteKey> nextToAsk(RoutingView view, List<Route> usable) {
    if (first.isEmpty()) {
      first = drawFirst(view, usable);
    }
    Optional<RouteKey> preferred =
        first.map(d -> new RouteKey(service, d)).filter(k -> isWorthAsking(usable, k));
    if (preferred.isPresent()) {
      return preferred;
    }
    double waitHere = first.map(d -> waitMs(view, new RouteKey(service, d))).orElse(0.0);
    List<Route> others =
        usable.stream()
            .filter(r -> isWorthAsking(usable, r.key()))
            .filter(r -> roundTripMs(view, r.key()) < waitHere)
            .toList();
    return byWeight(others);
  }

  private Optional<DataCentre> drawFirst(RoutingView view, List<Route> usable) {
    TrafficSplit split = view.splits().get(service);
    Optional<DataCentre> drawn =
        split == null ? Optional.empty() : split.choose(random.nextDouble());
    return drawn
        .filter(d -> usable.stream().anyMatch(r -> r.key().dataCentre().equals(d)))
        .or(() -> byWeight(usable).map(RouteKey::dataCentre));
  }

  private boolean isWorthAsking(List<Route> usable, RouteKey k) {
    return !asked.contains(k.dataCentre())
        && !loads.isBusy(k)
        && usable.stream().anyMatch(r -> r.key().equals(k));
  }

  private Optional<RouteKey> shortestWait(RoutingView view, List<Route> usable) {
    var shuffled = new ArrayList<>(usable);
    java.util.Collections.shuffle(shuffled, random);
    return shuffled.stream()
        .map(Route::key)
        .min(Comparator.comparingDouble(k -> waitMs(view, k) + roundTripMs(view, k)));
  }

  private double waitMs(RoutingView view, RouteKey k) {
    return view.owner(k).orElse(null) instanceof RouteOwner.Local l
        ? l.scheduler().expectedWaitMs()
        : loads.expectedWaitMs(k).orElse(UNKNOWN_WAIT_MS);
  }

  private static double roundTripMs(RoutingView view, RouteKey k) {
    return view.owner(k).orElse(null) instanceof RouteOwner.Remote r ? r.hop().roundTripMs() : 0;
  }

  private Optional<RouteKey> byWeight(List<Route> routes) {
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
