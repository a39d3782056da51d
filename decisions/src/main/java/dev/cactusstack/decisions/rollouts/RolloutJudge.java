package dev.cactusstack.decisions.rollouts;

import dev.cactusstack.decisions.rollouts.AnswerCounts.Sample;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Compares the answers of the new version with those of the old one by route.
 *
 * <p>A clear fault needs several bad answers, because it ends the roll-out at once and is looked
 * for after each answer. The conclusion at the end is drawn once and so needs fewer: a fault on a
 * route with few requests shows in two or three answers. Confined to one thread.
 */
public final class RolloutJudge {
  /** What the answers say at the end of a roll-out. */
  public enum Conclusion {
    /** The new version is as good as the old one on all routes with enough traffic. */
    GOOD,
    /** The new version is worse. */
    BAD,
    /** A route has too few answers of the new version to tell, but may get them. */
    INCOMPLETE,
    /** There are too few answers of the new version to tell anything. */
    UNKNOWN
  }

  private static final int MIN_CLEAR_BAD = 8;
  private static final int MIN_FINAL_BAD = 2;

  /** Fewest answers of the new version by which it may replace the old one. */
  static final int MIN_ANSWERS = 3;

  /** Answers that a route has to get unless it has little traffic. */
  private static final int MIN_ROUTE_ANSWERS = 20;

  /** Share of the old version's answers on a route with little traffic that has to be reached. */
  private static final double MIN_ROUTE_SHARE = 0.03;

  /** Answers of the old version from which a route that the new one has not served is a gap. */
  private static final int BUSY_ROUTE_ANSWERS = 100;

  private static final double PRIOR_WEIGHT = 5;
  private static final double PRIOR_BAD = 0.5;

  /**
   * A rate is clearly higher if the bad answers exceed this factor on the expected number, and the
   * number of standard deviations below. Single faults of the network hit both versions in bursts,
   * so they vary more than independent faults do.
   */
  private static final double EXPECTED_FACTOR = 1.5;

  private static final double CLEAR_DEVIATIONS = 4;
  private static final double CLEAR_OFFSET = 4;
  private static final double FINAL_DEVIATIONS = 3;
  private static final double FINAL_OFFSET = 1.25;

  private final Map<String, RouteEvidence> routes = new HashMap<>();

  /**
   * Records an answer.
   *
   * @param isNewVersion whether the new version gave it
   * @param answer the answer
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return whether it is bad: a failure, or several times slower than is typical of the old
   *     version on the route
   */
  public boolean record(boolean isNewVersion, Answer answer, long nowMs) {
    return routes
        .computeIfAbsent(answer.route(), route -> new RouteEvidence())
        .record(isNewVersion, answer, nowMs);
  }

  /**
   * Checks whether the new version is so much worse that it has to be taken back at once.
   *
   * @param nowMs the current time on the same clock
   * @return true if it has enough bad answers, at a rate clearly above the old version's, on one
   *     route or in total, since the start or lately
   */
  public boolean isClearlyBad(long nowMs) {
    routes.values().forEach(route -> route.decay(nowMs));
    return isWorse(AnswerCounts::total, MIN_CLEAR_BAD, CLEAR_DEVIATIONS, CLEAR_OFFSET)
        || isWorse(AnswerCounts::recent, MIN_CLEAR_BAD, CLEAR_DEVIATIONS, CLEAR_OFFSET);
  }

  /**
   * Draws the conclusion from all answers.
   *
   * @return the conclusion
   */
  public Conclusion conclude() {
    if (isWorse(AnswerCounts::total, MIN_FINAL_BAD, FINAL_DEVIATIONS, FINAL_OFFSET)) {
      return Conclusion.BAD;
    }
    if (sum(routes.values(), route -> route.newVersion().total()).answers() < MIN_ANSWERS
        || routes.values().stream().anyMatch(RolloutJudge::isGap)) {
      return Conclusion.UNKNOWN;
    }
    return routes.values().stream().allMatch(RolloutJudge::isCovered)
        ? Conclusion.GOOD
        : Conclusion.INCOMPLETE;
  }

  /**
   * Checks whether a route needs more answers of the new version.
   *
   * @param route the route's name
   * @return true if it has too few for a conclusion
   */
  public boolean needsAnswers(String route) {
    RouteEvidence evidence = routes.get(route);
    return evidence == null || evidence.newVersion().answers() < MIN_ROUTE_ANSWERS;
  }

  /**
   * Returns the number of answers.
   *
   * @param isNewVersion whether of the new version
   * @return the count over all routes
   */
  public long answers(boolean isNewVersion) {
    return routes.values().stream().mapToLong(r -> counts(r, isNewVersion).answers()).sum();
  }

  /**
   * Returns the number of bad answers.
   *
   * @param isNewVersion whether of the new version
   * @return the count over all routes
   */
  public long badAnswers(boolean isNewVersion) {
    return routes.values().stream().mapToLong(r -> counts(r, isNewVersion).bad()).sum();
  }

  private static AnswerCounts counts(RouteEvidence route, boolean isNewVersion) {
    return isNewVersion ? route.newVersion() : route.oldVersion();
  }

  private static boolean isCovered(RouteEvidence route) {
    double wanted =
        Math.min(MIN_ROUTE_ANSWERS, Math.floor(route.oldVersion().answers() * MIN_ROUTE_SHARE));
    return route.newVersion().answers() >= wanted;
  }

  private static boolean isGap(RouteEvidence route) {
    return route.oldVersion().answers() >= BUSY_ROUTE_ANSWERS
        && route.newVersion().answers() < MIN_ANSWERS;
  }

  private boolean isWorse(
      Function<AnswerCounts, Sample> period, int minBad, double deviations, double offset) {
    Sample allOld = sum(routes.values(), route -> period.apply(route.oldVersion()));
    double pooledRate = (allOld.bad() + PRIOR_BAD) / (allOld.answers() + 1);
    double totalBad = 0;
    double totalExpected = 0;
    for (RouteEvidence route : routes.values()) {
      Sample fresh = period.apply(route.newVersion());
      Sample old = period.apply(route.oldVersion());
      double rate = (old.bad() + PRIOR_WEIGHT * pooledRate) / (old.answers() + PRIOR_WEIGHT);
      double expected = fresh.answers() * rate;
      if (exceeds(fresh.bad(), expected, minBad, deviations, offset)) {
        return true;
      }
      totalBad += fresh.bad();
      totalExpected += expected;
    }
    return exceeds(totalBad, totalExpected, minBad, deviations, offset);
  }

  private static boolean exceeds(
      double bad, double expected, int minBad, double deviations, double offset) {
    return bad >= minBad
        && bad >= EXPECTED_FACTOR * expected + deviations * Math.sqrt(expected) + offset;
  }

  private static Sample sum(
      Collection<RouteEvidence> routes, Function<RouteEvidence, Sample> selector) {
    return routes.stream().map(selector).reduce(Sample.NONE, Sample::plus);
  }
}
