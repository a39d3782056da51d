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
 * The components that a host provides to every request.
 *
 * <p>Immutable; its components are thread-safe.
 *
 * @param view supplies the current routing snapshot
 * @param pools connections to upstreams and hosts
 * @param token issues and verifies the tokens of forwarded requests
 * @param metrics histograms and counters
 * @param retries the budget for retries
 * @param hedges the budget for hedged attempts
 * @param idempotencyKeys claims the keys of requests with an {@code Idempotency-Key}
 * @param arrivals counts requests of callers
 * @param remoteLoads the load that other owners reported
 * @param settings the settings for requests
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

  /** The unseeded source of randomness that hosts use in production. */
  static final Supplier<Random> SERVING_RANDOM = ThreadLocalRandom::current;

  DataPathContext {
    Objects.requireNonNull(view, "view is null");
    Objects.requireNonNull(random, "random is null");
  }
}
