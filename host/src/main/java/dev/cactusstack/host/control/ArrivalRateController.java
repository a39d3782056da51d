package dev.cactusstack.host.control;

import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.host.callers.ArrivalCounter;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Tells the group how many requests of each service arrive here. Confined to the control loop. */
public final class ArrivalRateController {
  private static final long INTERVAL_MS = 1_000;
  private static final double SMOOTHING = 0.4;
  private static final double NEGLIGIBLE = 0.5;

  private final ArrivalCounter arrivals;
  private final MembershipController members;
  private final Ticker ticker;
  private final Map<ServiceName, Double> perSecond = new TreeMap<>();
  private long lastMs;

  /**
   * Creates a controller.
   *
   * @param arrivals counts callers' requests
   * @param members announces the rates
   * @param ticker the clock
   */
  public ArrivalRateController(ArrivalCounter arrivals, MembershipController members, Ticker ticker) {
    this.arrivals = Objects.requireNonNull(arrivals, "arrivals is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.lastMs = ticker.millis();
  }

  void tick() {
    long now = ticker.millis();
    long elapsed = now - lastMs;
    if (elapsed < INTERVAL_MS) {
      return;
    }
    lastMs = now;
    Map<ServiceName, Long> counts = arrivals.takeCounts();
    counts.forEach((s, n) -> smooth(s, n * 1e3 / elapsed));
    perSecond.values().removeIf(r -> r < NEGLIGIBLE);
    var rates = new ArrayList<ServiceRate>();
    perSecond.forEach((s, r) -> rates.add(new ServiceRate(s, r.floatValue())));
    members.announceRates(rates);
  }

  private void smooth(ServiceName s, double rate) {
    Double before = perSecond.get(s);
    perSecond.put(s, before == null ? rate : before + SMOOTHING * (rate - before));
  }
}
