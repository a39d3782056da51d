package dev.cactusstack.decisions.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Steps of the table on upstreams. */
public final class UpstreamSteps {
  private static final int OPERATOR_LIMIT = 4;
  private static final long PAUSE_MS = 60_000;

  private UpstreamHealth health = UpstreamHealth.INITIAL;
  private long nowMs = 1_000;

  /** Sets the state to start from. */
  @Given("^an upstream that is (new|warm)$")
  public void upstream(String state) {
    if (state.equals("warm")) {
      show("warm*8");
    }
  }

  /** Plays evidence; a star repeats. */
  @When("^it shows (.+)$")
  public void show(String evidence) {
    for (String e : evidence.split(",")) {
      String[] parts = e.split("\\*");
      int times = parts.length == 1 ? 1 : Integer.parseInt(parts[1]);
      for (int i = 0; i < times; i++) {
        one(parts[0]);
      }
    }
  }

  private void one(String e) {
    switch (e) {
      case "nothing" -> {}
      case "pause" -> nowMs += PAUSE_MS;
      case "success" -> observe(new Evidence.Success(10, false));
      case "warm" -> observe(new Evidence.Success(10, true));
      case "error" -> observe(new Evidence.ServerError(1));
      case "refusal" -> observe(new Evidence.Refusal());
      case "timeout" -> observe(new Evidence.Timeout());
      case "lost" -> observe(new Evidence.ConnectionLost());
      case "cold" -> observe(new Evidence.SaysCold());
      case "leaving" -> observe(new Evidence.SaysLeaving());
      case "expiry" -> observe(new Evidence.KnowledgeExpired());
      case "listed" -> observe(new Evidence.ListedLive());
      default -> throw new IllegalArgumentException(e);
    }
  }

  private void observe(Evidence e) {
    health = health.observe(e, nowMs);
  }

  /** Checks the belief. */
  @Then("^it is ([A-Z]+) with a limit of (\\d+) of 4$")
  public void check(String state, int limit) {
    assertThat(health.state()).isEqualTo(UpstreamState.valueOf(state));
    assertThat(health.limit(OPERATOR_LIMIT, nowMs)).isEqualTo(limit);
  }
}
