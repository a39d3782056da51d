package dev.cactusstack.bench;

import java.util.Locale;
import java.util.Optional;

/** The experiments by name. Immutable and thread-safe. */
enum Scenarios {
  TAIL(new TailScenario(), "tail latency against three other policies"),
  SPEED(new SpeedScenario(), "time and processor time that one entry host adds");

  private final Scenario scenario;
  private final String description;

  Scenarios(Scenario scenario, String description) {
    this.scenario = scenario;
    this.description = description;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  Scenario scenario() {
    return scenario;
  }

  String description() {
    return description;
  }

  static Optional<Scenarios> ofLabel(String label) {
    for (Scenarios s : values()) {
      if (s.label().equals(label)) {
        return Optional.of(s);
      }
    }
    return Optional.empty();
  }
}
