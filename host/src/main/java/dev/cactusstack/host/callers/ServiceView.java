package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.RouteKey;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The usable routes of one service. Immutable and thread-safe.
 *
 * @param split the shares of the data centres
 * @param targets the routes that can serve now
 */
public record ServiceView(TrafficSplit split, List<Target> targets) {

  /** Copies the targets. */
  public ServiceView {
    Objects.requireNonNull(split, "split is null");
    targets = List.copyOf(targets);
  }

  @Nullable Target targetIn(DataCentre d) {
    for (Target t : targets) {
      if (t.key().dataCentre().equals(d)) {
        return t;
      }
    }
    return null;
  }

  /**
   * A route that can serve now.
   *
   * @param key the route
   * @param weight the operators' weight, above 0
   * @param owner who schedules its requests
   */
  public record Target(RouteKey key, int weight, RouteOwner owner) {
    /** Checks the components. */
    public Target {
      Objects.requireNonNull(key, "key is null");
      Objects.requireNonNull(owner, "owner is null");
    }
  }
}
