package dev.cactusstack.bench;

import java.util.Locale;
import java.util.Objects;

/**
 * The result line of an experiment: {@code result scenario=... seed=... key=value ...}. Immutable.
 */
final class ResultLine {
  private final String line;

  private ResultLine(String line) {
    this.line = line;
  }

  static ResultLine of(String scenario, BenchOptions o) {
    return new ResultLine(
        "result scenario="
            + scenario
            + " seed="
            + o.seed()
            + " deployment="
            + o.deployment().label());
  }

  ResultLine with(String key, long value) {
    return new ResultLine(line + ' ' + key + '=' + value);
  }

  ResultLine with(String key, double value) {
    return new ResultLine(line + ' ' + key + '=' + String.format(Locale.ROOT, "%.3f", value));
  }

  ResultLine with(String key, String value) {
    return new ResultLine(line + ' ' + key + '=' + Objects.requireNonNull(value, "value is null"));
  }

  @Override
  public String toString() {
    return line;
  }
}
