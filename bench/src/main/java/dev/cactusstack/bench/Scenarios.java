package dev.cactusstack.bench;

import java.util.Locale;
import java.util.Optional;

/** The experiments by name. Immutable and thread-safe. */
enum Scenarios {
  TAIL(new TailLatencyScenario(), "tail latency against three other policies"),
  COLD_START(new ColdStartScenario(), "upstreams that turn cold under load"),
  MEASURING(new ControlCostScenario(), "what control costs"),
  AT_MOST_ONCE(new AtMostOnceScenario(), "non-idempotent requests under faults"),
  SHUTDOWN(new ShutdownScenario(), "hosts and upstreams that leave in good order"),
  DATA_CENTRE_MOVE(new DataCentreMoveScenario(), "a data centre out and back in"),
  CONFIGURATION(new ConfigurationScenario(), "edits under faults of the table service"),
  SLOPES(new CapacityCostScenario(), "the costs that docs/CAPACITY.md multiplies"),
  SPEED(new HostOverheadScenario(), "time and processor time that one entry host adds");

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
