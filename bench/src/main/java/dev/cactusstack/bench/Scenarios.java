package dev.cactusstack.bench;

import java.util.Locale;
import java.util.Optional;

/** The experiments by name. Immutable and thread-safe. */
enum Scenarios {
  TAIL(new TailLatencyScenario(), "tail latency against three other policies"),
  COLD_START(new ColdStartScenario(), "upstreams that become cold under load"),
  MEASURING(new ControlCostScenario(), "cost of the control plane"),
  AT_MOST_ONCE(new AtMostOnceScenario(), "non-idempotent requests under faults"),
  SHUTDOWN(new ShutdownScenario(), "graceful shutdown of hosts and upstreams"),
  DATA_CENTRE_MOVE(new DataCentreMoveScenario(), "evacuation and return of a data centre"),
  CONFIGURATION(new ConfigurationScenario(), "edits during faults of the table service"),
  SLOPES(new CapacityCostScenario(), "unit costs used by docs/CAPACITY.md"),
  SPEED(new HostOverheadScenario(), "latency and CPU time added by one entry host");

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
