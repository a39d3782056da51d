package dev.cactusstack.decisions.placing;

/**
 * The cost model and warm-up limits of a scheduler. Immutable and thread-safe.
 *
 * @param crossDataCentreRoundTripMs duration of a round trip to another data centre, in
 *     milliseconds
 * @param crossDataCentreMsPerKb time that one KB of a body takes in addition if it crosses data
 *     centres, in milliseconds
 * @param connectCostMs cost of establishing a connection, in milliseconds, in addition to the round
 *     trip
 * @param warmupRateShare share of the request rate limit of a cold upstream that one scheduler may
 *     use
 * @param warmupRateFactor factor on the request rate that a cold upstream can take
 * @param warmupRateExtraPerSecond requests per second allowed on top of that
 */
public record SchedulerSettings(
    double crossDataCentreRoundTripMs,
    double crossDataCentreMsPerKb,
    double connectCostMs,
    double warmupRateShare,
    double warmupRateFactor,
    double warmupRateExtraPerSecond) {
  /** Returns how many requests per second one scheduler may send to a cold upstream. */
  int warmupRequestLimit(double warmupRequestsPerSecond) {
    return (int)
        Math.floor(
            warmupRateShare
                * (warmupRequestsPerSecond * warmupRateFactor + warmupRateExtraPerSecond));
  }
}
