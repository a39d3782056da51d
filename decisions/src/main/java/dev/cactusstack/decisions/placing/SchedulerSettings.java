package dev.cactusstack.decisions.placing;

/**
 * What a scheduler goes by. Immutable and thread-safe.
 *
 * @param crossDataCentreMs time that a round trip to another data centre takes, in milliseconds
 * @param crossDataCentreMsPerKb time that a KB of a body weighs when it goes to another data centre
 * @param connectMs time that making a connection weighs, in milliseconds, besides the way
 * @param coldShare part of the bound on cold upstreams that one scheduler may use
 * @param coldFactor factor on the rate that a cold upstream bears
 * @param coldSlack requests a second beyond that
 */
public record SchedulerSettings(
    double crossDataCentreMs,
    double crossDataCentreMsPerKb,
    double connectMs,
    double coldShare,
    double coldFactor,
    double coldSlack) {
  /** Requests that one scheduler may send to a cold upstream in a second. */
  int coldBound(double coldPerSecond) {
    return (int) Math.floor(coldShare * (coldPerSecond * coldFactor + coldSlack));
  }
}
