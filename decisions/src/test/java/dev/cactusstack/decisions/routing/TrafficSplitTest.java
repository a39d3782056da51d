package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dev.cactusstack.model.DataCentre;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TrafficSplitTest {
  private static final List<DataCentre> ALL =
      List.of(new DataCentre("a"), new DataCentre("b"), new DataCentre("c"));

  @Property(tries = 500, seed = "7")
  void shouldMeetTheWeightsOverAllHostsWhenEachHostSplitsIndependently(
      @ForAll @IntRange(min = 0, max = 100) int wa,
      @ForAll @IntRange(min = 1, max = 100) int wb,
      @ForAll @IntRange(min = 0, max = 100) int wc,
      @ForAll @DoubleRange(min = 0.1, max = 500) double ra,
      @ForAll @DoubleRange(min = 0.1, max = 500) double rb,
      @ForAll @DoubleRange(min = 0.1, max = 500) double rc) {
    Map<DataCentre, Integer> weights = Map.of(ALL.get(0), wa, ALL.get(1), wb, ALL.get(2), wc);
    Map<DataCentre, Double> rates = Map.of(ALL.get(0), ra, ALL.get(1), rb, ALL.get(2), rc);
    var received = new HashMap<DataCentre, Double>();
    for (DataCentre from : ALL) {
      TrafficSplit split = TrafficSplit.compute(from, rates, weights);
      ALL.forEach(to -> received.merge(to, split.share(to) * rates.get(from), Double::sum));
    }
    double sum = ra + rb + rc;
    double weightSum = wa + wb + wc;
    for (DataCentre d : ALL) {
      assertThat(received.get(d) / sum).isCloseTo(weights.get(d) / weightSum, within(1e-6));
    }
  }

  @Test
  void shouldKeepAllTrafficLocalWhenArrivalsMatchTheWeights() {
    TrafficSplit s =
        TrafficSplit.compute(
            ALL.get(0),
            Map.of(ALL.get(0), 10.0, ALL.get(1), 10.0, ALL.get(2), 10.0),
            Map.of(ALL.get(0), 20, ALL.get(1), 20, ALL.get(2), 20));
    assertThat(s.share(ALL.get(0))).isCloseTo(1.0, within(1e-9));
  }

  @Test
  void shouldChooseNothingWhenNoDataCentreIsUsable() {
    assertThat(TrafficSplit.compute(ALL.get(0), Map.of(), Map.of(ALL.get(1), 0)).choose(0.5))
        .isEmpty();
  }
}
