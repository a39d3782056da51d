package dev.cactusstack.decisions.rollouts;

/**
 * Counts the answers of one version on one route, in total and lately. Confined to one thread.
 *
 * <p>The recent counts decay. They show a version that turns bad after many good answers sooner
 * than the totals do.
 */
final class AnswerCounts {
  private static final double DECAY_MS = 10_000;

  private long answers;
  private long bad;
  private double recentAnswers;
  private double recentBad;
  private long decayedAtMs;

  void record(boolean isBad, long nowMs) {
    decay(nowMs);
    answers++;
    recentAnswers++;
    if (isBad) {
      bad++;
      recentBad++;
    }
  }

  void decay(long nowMs) {
    double factor = Math.exp(-Math.max(0, nowMs - decayedAtMs) / DECAY_MS);
    recentAnswers *= factor;
    recentBad *= factor;
    decayedAtMs = nowMs;
  }

  long answers() {
    return answers;
  }

  long bad() {
    return bad;
  }

  Sample total() {
    return new Sample(answers, bad);
  }

  /** Returns the recent counts at the time of the last call of {@link #decay}. */
  Sample recent() {
    return new Sample(recentAnswers, recentBad);
  }

  /** A number of answers and how many of them are bad. */
  record Sample(double answers, double bad) {
    static final Sample NONE = new Sample(0, 0);

    Sample plus(Sample other) {
      return new Sample(answers + other.answers, bad + other.bad);
    }
  }
}
