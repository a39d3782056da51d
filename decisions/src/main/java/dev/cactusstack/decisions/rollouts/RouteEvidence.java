package dev.cactusstack.decisions.rollouts;

/**
 * The answers of the old and of the new version on one route. Confined to one thread.
 *
 * <p>Both versions' answers are compared with the typical response time of the old one, so that
 * whatever makes both slow does not count against the new one.
 */
final class RouteEvidence {
  /** Ratio from which an answer counts as several times slower than the typical one. */
  private static final double SLOW_RATIO = 2.5;

  /** Covers a new connection to another data centre, which the new version needs more often. */
  private static final double SLOW_MARGIN_MS = 15;

  private static final double TYPICAL_SMOOTHING = 0.05;
  private static final int MIN_TYPICAL_ANSWERS = 5;

  private final AnswerCounts oldVersion = new AnswerCounts();
  private final AnswerCounts newVersion = new AnswerCounts();
  private double typicalMs;
  private int typicalAnswers;

  /** Records an answer and returns whether it is bad. */
  boolean record(boolean isNewVersion, Answer answer, long nowMs) {
    boolean bad = isBad(answer);
    boolean saysNothing =
        answer.kind() == Answer.Kind.RESPONSE ? answer.cold() && isSlow(answer) : !bad;
    if (saysNothing) {
      return false;
    }
    (isNewVersion ? newVersion : oldVersion).record(bad, nowMs);
    if (!isNewVersion && answer.kind() == Answer.Kind.RESPONSE && !answer.cold()) {
      recordTypical(answer.undisturbedMs());
    }
    return bad;
  }

  /** A timeout before the typical time says only that the request was sent late. */
  private boolean isBad(Answer answer) {
    return switch (answer.kind()) {
      case FAILURE -> true;
      case TIMEOUT -> answer.undisturbedMs() >= typicalMs;
      case RESPONSE, ABANDONED -> !answer.cold() && isSlow(answer);
    };
  }

  private boolean isSlow(Answer answer) {
    return typicalAnswers >= MIN_TYPICAL_ANSWERS
        && answer.undisturbedMs() > typicalMs * SLOW_RATIO + SLOW_MARGIN_MS;
  }

  /** Updates the mean, in which single slow answers have a bounded weight. */
  private void recordTypical(double undisturbedMs) {
    typicalAnswers++;
    double smoothing = Math.max(TYPICAL_SMOOTHING, 1.0 / typicalAnswers);
    double bounded =
        typicalAnswers > MIN_TYPICAL_ANSWERS
            ? Math.min(undisturbedMs, typicalMs * SLOW_RATIO + SLOW_MARGIN_MS)
            : undisturbedMs;
    typicalMs += (bounded - typicalMs) * smoothing;
  }

  void decay(long nowMs) {
    oldVersion.decay(nowMs);
    newVersion.decay(nowMs);
  }

  AnswerCounts oldVersion() {
    return oldVersion;
  }

  AnswerCounts newVersion() {
    return newVersion;
  }
}
