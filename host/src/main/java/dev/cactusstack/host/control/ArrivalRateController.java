package dev.cactusstack.host.control;

import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.host.callers.ArrivalCounter;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Announces the arrival rate of each service at this host to the group. Confined to the control
 * loop.
 */
public final class ArrivalRateController {
  private static final long INTERVAL_MS = 1_000;
  private static final double SMOOTHING = 0.4;
  private static final double NEGLIGIBLE_REQUESTS_PER_SECOND = 0.5;

  private final ArrivalCounter arrivals;
  private final MembershipController members;
  private final Ticker ticker;
  private final Map<ServiceName, Double> perSecond = new TreeMap<>();
  private long lastUpdateMs;

  /**
   * Creates a controller.
   *
   * @param arrivals counts the requests of callers
   * @param members announces the rates
   * @param ticker the clock
   */
  public ArrivalRateController(
      ArrivalCounter arrivals, MembershipController members, Ticker ticker) {
    this.arrivals = Objects.requireNonNull(arrivals, "arrivals is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.lastUpdateMs = ticker.millis();
  }

  void tick() {
    long now = ticker.millis();
    long elapsed = now - lastUpdateMs;
    if (elapsed < INTERVAL_MS) {
      return;
    }
    lastUpdateMs = now;
    Map<ServiceName, Long> counts = arrivals.takeCounts();
    counts.forEach((s, n) -> updateRate(s, n * 1e3 / elapsed));
    perSecond.values().removeIf(r -> r < NEGLIGIBLE_REQUESTS_PER_SECOND);
    var rates = new ArrayList<ServiceRate>();
    perSecond.forEach((s, r) -> rates.add(new ServiceRate(s, r.floatValue())));
    members.announceRates(rates);
  }

  private void updateRate(ServiceName s, double rate) {
    Double before = perSecond.get(s);
    perSecond.put(s, before == null ? rate : before + SMOOTHING * (rate - before));
  }
}
