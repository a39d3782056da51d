package dev.cactusstack.decisions.routing;

import dev.cactusstack.model.DataCentre;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The shares of a service's traffic that a host sends to each data centre.
 *
 * <p>The split meets the operators' weights over all hosts together with as little traffic between
 * data centres as possible: each data centre keeps its own arrivals up to its weighted share, and
 * the surplus goes to data centres below their share, in proportion to what each lacks.
 *
 * <p>Invariant: shares are not negative, and add up to 1 unless the split is empty. Immutable and
 * thread-safe.
 */
public final class TrafficSplit {
  private static final TrafficSplit NONE = new TrafficSplit(new TreeMap<>());

  private final SortedMap<DataCentre, Double> shares;

  private TrafficSplit(SortedMap<DataCentre, Double> shares) {
    this.shares = Collections.unmodifiableSortedMap(shares);
  }

  /**
   * Computes the split of one host.
   *
   * @param home the host's data centre
   * @param arrivals arrival rate of the service in each data centre, in any one unit; data centres
   *     left out have none
   * @param weights operators' weight of each usable data centre; those left out or 0 get nothing
   * @return the split, empty when no data centre is usable
   */
  public static TrafficSplit compute(
      DataCentre home, Map<DataCentre, Double> arrivals, Map<DataCentre, Integer> weights) {
    Objects.requireNonNull(home, "home is null");
    SortedMap<DataCentre, Double> target = normalise(weights);
    if (target.isEmpty()) {
      return NONE;
    }
    SortedMap<DataCentre, Double> from = normalise(arrivals);
    double here = from.getOrDefault(home, 0.0);
    // Without own arrivals there is nothing to split yet; the first request stays at home.
    if (here <= 0) {
      return target.containsKey(home) ? of(home) : new TrafficSplit(target);
    }
    return split(home, here, from, target);
  }

  private static TrafficSplit split(
      DataCentre home,
      double here,
      SortedMap<DataCentre, Double> from,
      SortedMap<DataCentre, Double> target) {
    double kept = Math.min(here, target.getOrDefault(home, 0.0));
    double surplus = here - kept;
    var lacks = new TreeMap<DataCentre, Double>();
    target.forEach((d, t) -> lacks.put(d, Math.max(0, t - from.getOrDefault(d, 0.0))));
    double lack = lacks.values().stream().mapToDouble(Double::doubleValue).sum();
    var shares = new TreeMap<DataCentre, Double>();
    target
        .keySet()
        .forEach(
            d -> {
              double moved = lack <= 0 ? 0 : surplus * lacks.getOrDefault(d, 0.0) / lack;
              shares.put(d, ((d.equals(home) ? kept : 0) + moved) / here);
            });
    return new TrafficSplit(shares);
  }

  private static TrafficSplit of(DataCentre d) {
    var m = new TreeMap<DataCentre, Double>();
    m.put(d, 1.0);
    return new TrafficSplit(m);
  }

  private static <N extends Number> SortedMap<DataCentre, Double> normalise(
      Map<DataCentre, N> parts) {
    double sum = parts.values().stream().mapToDouble(Number::doubleValue).sum();
    var m = new TreeMap<DataCentre, Double>();
    parts.forEach(
        (d, p) -> {
          if (p.doubleValue() > 0) {
            m.put(d, p.doubleValue() / sum);
          }
        });
    return m;
  }

  /**
   * Chooses a data centre with the probabilities of the split.
   *
   * @param draw a uniform number from 0 (included) to 1 (excluded)
   * @return the data centre, or nothing when the split is empty
   */
  public Optional<DataCentre> choose(double draw) {
    double left = draw;
    DataCentre last = null;
    for (Map.Entry<DataCentre, Double> e : shares.entrySet()) {
      if (e.getValue() <= 0) {
        continue;
      }
      last = e.getKey();
      left -= e.getValue();
      if (left < 0) {
        break;
      }
    }
    return Optional.ofNullable(last);
  }

  /**
   * Returns one data centre's share.
   *
   * @param d the data centre
   * @return a number from 0 to 1
   */
  public double share(DataCentre d) {
    return shares.getOrDefault(d, 0.0);
  }
}
