package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Steps of the feature on attempts. */
public final class AttemptSteps {
  private boolean idempotent;
  private boolean replayable;
  private boolean retryAllowed;
  private boolean earlierAttemptsNotRun = true;
  private AttemptState state = AttemptState.NOT_SENT;

  /** Sets the request's method and body. */
  @Given("^a request that is (idempotent|not idempotent) with (no body|a used body)$")
  public void request(String method, String body) {
    idempotent = method.equals("idempotent");
    replayable = body.equals("no body");
  }

  /** Sets whether more attempts are allowed. */
  @Given("^(more|no) attempts left$")
  public void attempts(String which) {
    retryAllowed = which.equals("more");
  }

  /** Records an earlier attempt. */
  @Given("an earlier attempt that may have run")
  public void earlier() {
    earlierAttemptsNotRun = false;
  }

  /** Applies the events. */
  @When("^an attempt sees ([A-Z_,]+)$")
  public void events(String events) {
    for (String e : events.split(",")) {
      state = state.after(AttemptEvent.valueOf(e));
    }
  }

  /** Checks the decision. */
  @Then("^the decision is ([A-Z_]+)$")
  public void decision(String decision) {
    var conditions =
        new RetryConditions(idempotent, replayable, retryAllowed, earlierAttemptsNotRun);
    assertThat(state.decideAfterFailure(conditions)).isEqualTo(RetryDecision.valueOf(decision));
  }
}
