package dev.cactusstack.decisions.placing;

/**
 * What a scheduler goes by. Immutable and thread-safe.
 *
 * @param crossDataCentreRoundTripMs time that a round trip to another data centre takes, in
 *     milliseconds
 * @param crossDataCentreMsPerKb time that a KB of a body weighs when it goes to another data centre
 * @param connectCostMs time that making a connection weighs, in milliseconds, besides the way
 * @param warmupRateShare part of the bound on cold upstreams that one scheduler may use
 * @param warmupRateFactor factor on the rate that a cold upstream bears
 * @param warmupRateExtraPerSecond requests a second beyond that
 */
public record SchedulerSettings(
    double crossDataCentreRoundTripMs,
    double crossDataCentreMsPerKb,
    double connectCostMs,
    double warmupRateShare,
    double warmupRateFactor,
    double warmupRateExtraPerSecond) {
  /** Requests that one scheduler may send to a cold upstream in a second. */
  int warmupRequestLimit(double coldPerSecond) {
    return (int)
        Math.floor(warmupRateShare * (coldPerSecond * warmupRateFactor + warmupRateExtraPerSecond));
  }
}
