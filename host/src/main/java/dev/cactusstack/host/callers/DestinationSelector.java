package dev.cactusstack.host.callers;

import dev.cactusstack.host.callers.ServiceView.Target;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * The data centres that one request may go to, in order of preference: the one that the service's
 * split draws, then the others in an order drawn by the operators' weights.
 *
 * <p>A data centre without a free place is left for another one only when the expected wait is
 * longer than the round trip to the other. When none has a free place, the request waits where the
 * wait is expected to be shortest, round trip included. Confined to one thread.
 */
final class DestinationSelector {
  private static final double UNKNOWN_WAIT_MS = 1_000;

  private final ServiceName service;
  private final RemoteRouteLoads loads;
  private final Random random;
  private final List<DataCentre> failed = new ArrayList<>(2);
  private final List<DataCentre> refusedDataCentres = new ArrayList<>(2);
  private @Nullable DataCentre firstChoice;

  /** Where to send a request, and whether it may be refused there. */
  record Choice(Target target, boolean mayRefuse) {}

  DestinationSelector(ServiceName service, RemoteRouteLoads loads, Random random) {
    this.service = service;
    this.loads = loads;
    this.random = random;
  }

  /** Leaves out a data centre whose owner could not be used. */
  void failed(DataCentre d) {
    failed.add(d);
  }

  /** Makes all data centres usable again; returns false when none was left out. */
  boolean clearFailures() {
    boolean any = !failed.isEmpty();
    failed.clear();
    return any;
  }

  /** Notes that a data centre had no free place. */
  void refused(DataCentre d) {
    refusedDataCentres.add(d);
  }

  /** Chooses a data centre; {@code mayAsk} tells whether a refusal would cost nothing. */
  @Nullable Choice select(RoutingView view, boolean refusalIsCheap) {
    ServiceView s = view.service(service);
    if (s == null) {
      return null;
    }
    Target free = refusalIsCheap ? selectImmediate(s) : null;
    if (free != null) {
      return new Choice(free, true);
    }
    Target shortest = shortestWait(s);
    return shortest == null ? null : new Choice(shortest, false);
  }

  private @Nullable Target selectImmediate(ServiceView s) {
    if (firstChoice == null) {
      firstChoice = drawFirst(s);
    }
    Target preferred = firstChoice == null ? null : s.targetIn(firstChoice);
    if (preferred != null && isCandidate(preferred)) {
      return preferred;
    }
    double preferredWaitMs = preferred == null ? 0 : waitMs(preferred);
    var others = new ArrayList<Target>(s.targets().size());
    for (Target t : s.targets()) {
      if (isCandidate(t) && roundTripMs(t) < preferredWaitMs) {
        others.add(t);
      }
    }
    return pickByWeight(others);
  }

  private @Nullable DataCentre drawFirst(ServiceView s) {
    DataCentre drawn = s.split().choose(random.nextDouble()).orElse(null);
    if (drawn != null && s.targetIn(drawn) != null) {
      return drawn;
    }
    Target t = pickByWeight(s.targets());
    return t == null ? null : t.key().dataCentre();
  }

  private boolean isCandidate(Target t) {
    DataCentre d = t.key().dataCentre();
    return !failed.contains(d) && !refusedDataCentres.contains(d) && !loads.isBusy(t.key());
  }

  private @Nullable Target shortestWait(ServiceView s) {
    Target best = null;
    double lowest = Double.POSITIVE_INFINITY;
    int size = s.targets().size();
    int start = size == 0 ? 0 : random.nextInt(size);
    for (int i = 0; i < size; i++) {
      Target t = s.targets().get((start + i) % size);
      double cost = waitMs(t) + roundTripMs(t);
      boolean usable = !failed.contains(t.key().dataCentre());
      if (usable && (best == null || cost < lowest)) {
        best = t;
        lowest = cost;
      }
    }
    return best;
  }

  private double waitMs(Target t) {
    return t.owner() instanceof RouteOwner.Local l
        ? l.scheduler().expectedWaitMs()
        : loads.expectedWaitMs(t.key(), UNKNOWN_WAIT_MS);
  }

  private static double roundTripMs(Target t) {
    return t.owner() instanceof RouteOwner.Remote r ? r.remoteHost().roundTripMs() : 0;
  }

  private @Nullable Target pickByWeight(List<Target> targets) {
    int sum = 0;
    for (Target t : targets) {
      sum += t.weight();
    }
    if (sum <= 0) {
      return null;
    }
    int draw = random.nextInt(sum);
    for (Target t : targets) {
      draw -= t.weight();
      if (draw < 0) {
        return t;
      }
    }
    return null;
  }
}
