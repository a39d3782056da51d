package dev.cactusstack.decisions.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Steps of the feature on upstreams. */
public final class UpstreamSteps {
  private static final int OPERATOR_LIMIT = 4;
  private static final long BACKOFF_MS = 60_000;

  private UpstreamHealth health = UpstreamHealth.INITIAL;
  private long nowMs = 1_000;

  /** Sets the initial state. */
  @Given("^an upstream that is (new|warm)$")
  public void upstream(String state) {
    if (state.equals("warm")) {
      show("warm*8");
    }
  }

  /** Applies observations; a factor after an asterisk repeats one. */
  @When("^it shows (.+)$")
  public void show(String observations) {
    for (String e : observations.split(",")) {
      String[] parts = e.split("\\*");
      int times = parts.length == 1 ? 1 : Integer.parseInt(parts[1]);
      for (int i = 0; i < times; i++) {
        observeNamed(parts[0]);
      }
    }
  }

  private void observeNamed(String e) {
    switch (e) {
      case "nothing" -> {}
      case "pause" -> nowMs += BACKOFF_MS;
      case "success" -> observe(new Observation.Success(10, false));
      case "warm" -> observe(new Observation.Success(10, true));
      case "error" -> observe(new Observation.ServerError(1));
      case "refusal" -> observe(new Observation.Refusal());
      case "timeout" -> observe(new Observation.Timeout());
      case "lost" -> observe(new Observation.ConnectionLost());
      case "cold" -> observe(new Observation.ReportedCold());
      case "leaving" -> observe(new Observation.ReportedLeaving());
      case "expiry" -> observe(new Observation.StateExpired());
      case "listed" -> observe(new Observation.ListedActive());
      default -> throw new IllegalArgumentException(e);
    }
  }

  private void observe(Observation e) {
    health = health.observe(e, nowMs);
  }

  /** Checks the state and the limit. */
  @Then("^it is ([A-Z]+) with a limit of (\\d+) of 4$")
  public void check(String state, int limit) {
    assertThat(health.state()).isEqualTo(UpstreamState.valueOf(state));
    assertThat(health.effectiveLimit(OPERATOR_LIMIT, nowMs)).isEqualTo(limit);
  }
}
