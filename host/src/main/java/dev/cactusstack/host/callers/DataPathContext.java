package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.retries.RetryBudget;
import dev.cactusstack.host.observe.Metrics;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.settings.RequestSettings;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * What every request needs of its host.
 *
 * <p>Immutable; its parts are thread-safe.
 *
 * @param view reads the routing snapshot in force
 * @param pools connections to upstreams and hosts
 * @param token marks requests that are passed on
 * @param metrics histograms and counters
 * @param retries allows retries
 * @param hedges allows second attempts beside a slow one
 * @param idempotencyKeys runs requests with an {@code Idempotency-Key} once
 * @param arrivals counts requests of callers
 * @param remoteLoads what other owners said of their load
 * @param settings how requests are treated
 * @param ticker the clock
 * @param random draws the data centre of a request; thread-safe
 */
record DataPathContext(
    Supplier<RoutingView> view,
    ConnectionPools pools,
    ForwardToken token,
    Metrics metrics,
    RetryBudget retries,
    RetryBudget hedges,
    IdempotencyKeyClaims idempotencyKeys,
    ArrivalCounter arrivals,
    RemoteRouteLoads remoteLoads,
    RequestSettings settings,
    Ticker ticker,
    Supplier<Random> random) {

  /** Unseeded randomness for a host in service. */
  static final Supplier<Random> SERVING_RANDOM = ThreadLocalRandom::current;

  DataPathContext {
    Objects.requireNonNull(view, "view is null");
    Objects.requireNonNull(random, "random is null");
  }
}
