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
 * <p>The splits of all hosts together meet the operators' weights with as little traffic between
 * data centres as possible: each data centre keeps its own arrivals up to its weighted share, and
 * the surplus goes to data centres below their share, in proportion to their deficits.
 *
 * <p>Invariant: shares are not negative and add up to 1 unless the split is empty. Immutable and
 * thread-safe.
 */
public final class TrafficSplit {
  private static final TrafficSplit EMPTY = new TrafficSplit(new TreeMap<>());

  private final SortedMap<DataCentre, Double> shares;

  private TrafficSplit(SortedMap<DataCentre, Double> shares) {
    this.shares = Collections.unmodifiableSortedMap(shares);
  }

  /**
   * Computes the split of one host.
   *
   * @param home the host's data centre
   * @param arrivals arrival rate of the service in each data centre, all in the same unit; absent
   *     data centres have no arrivals
   * @param weights operators' weight of each usable data centre; data centres that are absent or
   *     have weight 0 receive no traffic
   * @return the split, empty if no data centre is usable
   */
  public static TrafficSplit compute(
      DataCentre home, Map<DataCentre, Double> arrivals, Map<DataCentre, Integer> weights) {
    Objects.requireNonNull(home, "home is null");
    SortedMap<DataCentre, Double> targetShares = normalise(weights);
    if (targetShares.isEmpty()) {
      return EMPTY;
    }
    SortedMap<DataCentre, Double> arrivalShares = normalise(arrivals);
    double localArrivals = arrivalShares.getOrDefault(home, 0.0);
    // Without local arrivals there is nothing to split yet; the first request stays local.
    if (localArrivals <= 0) {
      return targetShares.containsKey(home) ? only(home) : new TrafficSplit(targetShares);
    }
    return split(home, localArrivals, arrivalShares, targetShares);
  }

  private static TrafficSplit split(
      DataCentre home,
      double localArrivals,
      SortedMap<DataCentre, Double> arrivalShares,
      SortedMap<DataCentre, Double> targetShares) {
    double kept = Math.min(localArrivals, targetShares.getOrDefault(home, 0.0));
    double surplus = localArrivals - kept;
    var deficits = new TreeMap<DataCentre, Double>();
    targetShares.forEach(
        (d, t) -> deficits.put(d, Math.max(0, t - arrivalShares.getOrDefault(d, 0.0))));
    double totalDeficit = deficits.values().stream().mapToDouble(Double::doubleValue).sum();
    var shares = new TreeMap<DataCentre, Double>();
    targetShares
        .keySet()
        .forEach(
            d -> {
              double moved =
                  totalDeficit <= 0 ? 0 : surplus * deficits.getOrDefault(d, 0.0) / totalDeficit;
              shares.put(d, ((d.equals(home) ? kept : 0) + moved) / localArrivals);
            });
    return new TrafficSplit(shares);
  }

  private static TrafficSplit only(DataCentre dataCentre) {
    var single = new TreeMap<DataCentre, Double>();
    single.put(dataCentre, 1.0);
    return new TrafficSplit(single);
  }

  private static <N extends Number> SortedMap<DataCentre, Double> normalise(
      Map<DataCentre, N> amounts) {
    double sum = amounts.values().stream().mapToDouble(Number::doubleValue).sum();
    var normalised = new TreeMap<DataCentre, Double>();
    amounts.forEach(
        (d, p) -> {
          if (p.doubleValue() > 0) {
            normalised.put(d, p.doubleValue() / sum);
          }
        });
    return normalised;
  }

  /**
   * Chooses a data centre, with the shares as probabilities.
   *
   * @param draw a uniformly distributed number from 0 (inclusive) to 1 (exclusive)
   * @return the data centre, or empty if the split is empty
   */
  public Optional<DataCentre> choose(double draw) {
    double remaining = draw;
    DataCentre last = null;
    for (Map.Entry<DataCentre, Double> e : shares.entrySet()) {
      if (e.getValue() <= 0) {
        continue;
      }
      last = e.getKey();
      remaining -= e.getValue();
      if (remaining < 0) {
        break;
      }
    }
    return Optional.ofNullable(last);
  }

  /**
   * Returns the share of a data centre.
   *
   * @param dataCentre the data centre
   * @return a number from 0 to 1
   */
  public double share(DataCentre dataCentre) {
    return shares.getOrDefault(dataCentre, 0.0);
  }
}
