package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The reports that a host sends to a scheduler again, because datagrams may be lost. */
class RepeatedReportsTest {
  private static final Address SCHEDULER = new Address("127.0.0.1", 9);

  private final PlacementFixture host = new PlacementFixture();

  @BeforeEach
  void addHosts() {
    host.addHost("self", new Address("127.0.0.1", 8), 600);
    host.addHost("scheduler", SCHEDULER, 6_000);
  }

  private PlacementDecision.Placed requestPlacement(String service) {
    var request =
        new PlacementRequest(
            host.placement.nextKey(), "dc", "r", 1, 300, 300, 1_000, 0, false, Set.of());
    host.placement.requestPlacement(service, request, decision -> {});
    var upstream =
        new UpstreamRegistration(
            "u", service, new Address("127.0.0.1", 80), "dc", 4, false, 0, 1, 1);
    var placed = new PlacementDecision.Placed(request.key(), upstream);
    receive(placed);
    return placed;
  }

  private void receive(PlacementDecision decision) {
    host.placement.onMessage(new LinkMessage.DecisionMade(decision, 0), SCHEDULER);
  }

  private AttemptReport report(String service, UpstreamNotice notice) {
    PlacementDecision.Placed placed = requestPlacement(service);
    var report =
        new AttemptReport(placed.key(), "u", AttemptOutcome.ANSWERED, 5, Optional.empty(), notice);
    host.placement.report(service, report);
    return report;
  }

  private LinkMessage.AttemptsEnded lastSent() {
    List<LinkMessage.AttemptsEnded> sent = host.sent(LinkMessage.AttemptsEnded.class);
    return sent.get(sent.size() - 1);
  }

  /** Guards against a hold-off that starts anew each time the report of it is sent again. */
  @Test
  void shouldSendAReportAgainWithTheHoldOffThatRemains() {
    AttemptReport first = report("s", new UpstreamNotice(false, 1_000));
    host.time.run(400);
    AttemptReport second = report("s", UpstreamNotice.NONE);
    assertThat(lastSent().reports()).containsExactly(second, first.agedBy(400));
    assertThat(lastSent().reports().get(1).notice().holdOffMs()).isEqualTo(600);
  }

  /** Guards against an old limit that looks like a new one when its report is sent again. */
  @Test
  void shouldSendAReportAgainWithTheAgeOfTheLimit() {
    report("s", new UpstreamNotice(false, 0, Optional.of(new RequestLimit(1.5, 50, 0))));
    host.time.run(400);
    report("s", UpstreamNotice.NONE);
    host.time.run(100);
    report("s", UpstreamNotice.NONE);
    assertThat(lastSent().reports().get(2).notice().limit())
        .contains(new RequestLimit(1.5, 550, 500));
  }

  /** Guards against reports that reach the scheduler of a service that they don't belong to. */
  @Test
  void shouldNotSendReportsOfAnotherServiceAgain() {
    AttemptReport first = report("s", UpstreamNotice.NONE);
    AttemptReport other = report("t", UpstreamNotice.NONE);
    assertThat(lastSent().reports()).containsExactly(other);
    AttemptReport second = report("s", UpstreamNotice.NONE);
    assertThat(lastSent().reports()).containsExactly(second, first);
  }

  /** Guards against a sent request that a late copy of its decision takes off the count. */
  @Test
  void shouldNotReturnAPlacementThatWasUsedWhenItsDecisionArrivesAgain() {
    PlacementDecision.Placed placed = requestPlacement("s");
    host.placement.report(
        "s", new AttemptReport(placed.key(), "u", AttemptOutcome.ANSWERED, 5, Optional.empty()));
    host.sent.clear();
    receive(placed);
    assertThat(host.sent).isEmpty();
  }

  @Test
  void shouldReturnAPlacementThatWasNotUsed() {
    PlacementDecision.Placed placed = requestPlacement("s");
    host.placement.cancelPlacement(placed.key());
    var unknown = new PlacementDecision.Placed(host.placement.nextKey(), placed.upstream());
    receive(unknown);
    assertThat(lastSent().reports())
        .singleElement()
        .satisfies(report -> assertThat(report.outcome()).isEqualTo(AttemptOutcome.UNUSED));
  }
}
