package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.decisions.quotas.QuotaShare;
import dev.cactusstack.model.site.Workspace;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What hosts exchange for the permits of a workspace, and what they keep of it. */
class QuotaClientTest {
  private static final double RATE = 1;
  private static final double BURST = 10;
  private static final long ROUND_TRIP_MS = 2 * QuotaSimulation.MAX_ONE_WAY_MS;

  private long lastNumber;
  private final QuotaSimulation site = new QuotaSimulation(6, 7, QuotaShare::of);

  @BeforeEach
  void settle() {
    site.setQuota(RATE, BURST);
    site.run(20_000, 0);
  }

  private QuotaSimulation.Host other() {
    return site.hosts.stream().filter(h -> h != site.owner()).findFirst().orElseThrow();
  }

  private double available() {
    return grantAll(site.owner().owners);
  }

  private int grantAll(QuotaOwners owners) {
    int granted = 0;
    while (owners
        .decide(QuotaSimulation.WORKSPACE, new PlacementKey(99, ++lastNumber))
        .isGranted()) {
      granted++;
    }
    return granted;
  }

  @Test
  void shouldDecideAtOnceAndWithoutAMessageWhenThisHostIsTheOwner() {
    site.owner().request();
    assertThat(site.ranAtMs).containsExactly(site.nowMs);
    assertThat(site.messages).isZero();
  }

  @Test
  void shouldTakeOneRoundTripWhenAnotherHostIsTheOwner() {
    other().request();
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs).hasSize(1);
    assertThat(site.messages).isEqualTo(2);
    assertThat(site.owner().owners.grantedCount()).isEqualTo(1);
  }

  /** Guards against a second permit for a request whose answer was lost. */
  @Test
  void shouldTakeOnePermitWhenTheAnswerIsLost() {
    int owner = site.owner().index;
    site.connected = (from, to) -> from != owner;
    other().request();
    site.run(30, 0);
    assertThat(site.ranAtMs).isEmpty();
    site.connected = (from, to) -> true;
    site.run(5 + ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs).hasSize(1);
    assertThat(available()).isEqualTo(BURST - 1);
  }

  @Test
  void shouldAskTheNextHostWhenTheOwnerIsSilent() {
    QuotaSimulation.Host host = other();
    int owner = site.owner().index;
    site.connected = (from, to) -> to != owner;
    host.request();
    site.run(84, 0);
    assertThat(site.ranAtMs).isEmpty();
    site.run(1 + ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs.size() + site.refusedAtMs.size()).isEqualTo(1);
    assertThat(host.client.pendingCount()).isZero();
    host.request();
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs.size() + site.refusedAtMs.size()).isEqualTo(2);
  }

  /** Guards against refusals under the quota whenever the owner is silent for the first time. */
  @Test
  void shouldGrantWhatHasAccruedWhenTheSecondIsAskedForTheFirstTime() {
    site.setQuota(20, 30);
    QuotaSimulation.Host host = other();
    int owner = site.owner().index;
    site.connected = (from, to) -> to != owner;
    for (int i = 0; i < 3; i++) {
      host.request();
    }
    site.run(85 + ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs).hasSize(3);
    host.request();
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.refusedAtMs).hasSize(1);
  }

  @Test
  void shouldDecideByItsOwnShareWhenNobodyAnswers() {
    QuotaSimulation.Host host = other();
    site.connected = (from, to) -> false;
    host.request();
    site.run(2 * 85 + 1, 0);
    assertThat(site.ranAtMs.size() + site.refusedAtMs.size()).isEqualTo(1);
    assertThat(host.client.ownShareDecisionCount()).isEqualTo(1);
  }

  /** Guards against a permit that is lost when its caller leaves early. */
  @Test
  void shouldReturnThePermitOnceWhenTheCallerLeavesWhileItIsPending() {
    QuotaClient.Permit permit = other().request();
    permit.giveBack();
    permit.giveBack();
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs).isEmpty();
    assertThat(other().client.pendingCount()).isZero();
    assertThat(site.messages).isLessThanOrEqualTo(3);
    assertThat(available()).isEqualTo(BURST);
  }

  @Test
  void shouldReturnThePermitOnceWhenItsRequestDidNotRun() {
    site.unusedShare = 1;
    other().request();
    site.run(3 * QuotaSimulation.MAX_ONE_WAY_MS, 0);
    assertThat(site.messages).isEqualTo(3);
    assertThat(site.owner().owners.returnedCount()).isEqualTo(1);
    assertThat(available()).isEqualTo(BURST);
  }

  /** Guards against an owner with an older configuration that refuses what it does not know. */
  @Test
  void shouldAskAnotherHostWhenTheOwnerDoesNotKnowTheWorkspace() {
    QuotaSimulation.Host owner = site.owner();
    owner.follow(Optional.empty());
    other().request();
    site.run(2 * ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs.size() + site.refusedAtMs.size()).isEqualTo(1);
    assertThat(site.maxWaitMs).isLessThanOrEqualTo(2 * ROUND_TRIP_MS);
    owner.follow(QuotaSimulation.configuration(RATE, BURST));
    other().request();
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.owner().owners.grantedCount()).isEqualTo(1);
  }

  @Test
  void shouldGrantWithoutCountingWhenTheOwnerKnowsThatThereIsNoQuota() {
    QuotaSimulation.Host owner = site.owner();
    owner.follow(QuotaSimulation.configuration(0, 0));
    for (int i = 0; i < 2 * BURST; i++) {
      other().request();
    }
    site.run(ROUND_TRIP_MS, 0);
    assertThat(site.ranAtMs).hasSize((int) (2 * BURST));
    assertThat(owner.owners.size()).isZero();
    assertThat(owner.owners.grantedCount()).isZero();
  }

  /** Guards against refusals of a workspace that is new, whose earlier use is known to be none. */
  @Test
  void shouldStartFullWhenTheHostIsTheFirstSinceBeforeTheWorkspaceWasConfigured() {
    for (QuotaSimulation.Host host : site.hosts) {
      host.follow(QuotaSimulation.configuration(0, 0));
    }
    site.run(1_500, 0);
    site.setQuota(RATE, BURST);
    assertThat(available()).isEqualTo(BURST);
  }

  /** Guards against a new owner that grants a burst right after the former one's. */
  @Test
  void shouldStartWithOnePermitWhenTheOwnerWasLost() {
    assertThat(available()).isEqualTo(BURST);
    site.owner().stop();
    site.run(5_000, 0);
    assertThat(available()).isEqualTo(1);
  }

  /** Guards against a burst that is granted again when its workspace is removed and put back. */
  @Test
  void shouldNotGrantTheBurstAgainWhenTheWorkspaceIsRemovedAndPutBack() {
    assertThat(available()).isEqualTo(BURST);
    for (int i = 0; i < 3; i++) {
      site.setWorkspaces(Map.of());
      site.run(350, 0);
      site.setQuota(RATE, BURST);
      assertThat(available()).isLessThanOrEqualTo(1);
    }
  }

  /** Guards against a burst that is granted again when the quota is lifted and set again. */
  @Test
  void shouldNotGrantTheBurstAgainWhenTheQuotaIsLiftedAndSetAgain() {
    assertThat(available()).isEqualTo(BURST);
    for (int i = 0; i < 3; i++) {
      site.setQuota(0, 0);
      site.run(350, 0);
      site.setQuota(RATE, BURST);
      assertThat(available()).isLessThanOrEqualTo(1);
    }
  }

  /**
   * Guards against a full burst right after a loss of all hosts, of a workspace that was removed
   * before it and is put back: nobody knows what was granted before.
   */
  @Test
  void shouldNotGrantTheWholeBurstWhenAWorkspaceIsPutBackAfterALossOfAllHosts() {
    var restarted = new QuotaSimulation(6, 7, QuotaShare::of);
    restarted.setWorkspaces(Map.of());
    restarted.run(1_000, 0);
    restarted.setQuota(RATE, 100);
    assertThat(grantAll(restarted.owner().owners)).isLessThanOrEqualTo(13);
  }

  /** Guards against the permits of a restart that are granted at each return of a share. */
  @Test
  void shouldGrantThePermitsOfARestartOnceWhenTheShareIsLostAndBack() {
    double[] share = {1};
    var alone = new QuotaSimulation(1, 7, (rank, first, usable, known, running) -> share[0]);
    alone.setQuota(RATE, BURST);
    QuotaOwners owners = alone.hosts.get(0).owners;
    int granted = 0;
    for (int i = 0; i < 3; i++) {
      share[0] = 1;
      granted += grantAll(owners);
      share[0] = 0;
      granted += grantAll(owners);
    }
    assertThat(granted).isLessThanOrEqualTo((int) BURST);
  }

  /** Guards against memory that grows with workspaces that are gone or have no quota. */
  @Test
  void shouldKeepStateOnlyOfConfiguredWorkspacesWithAQuota() {
    Map<String, Workspace> workspaces = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      String name = "w" + i;
      double rate = i % 2;
      workspaces.put(name, new Workspace(name, Set.of(), OptionalInt.empty(), rate, 1));
    }
    var alone = new QuotaSimulation(1, 7, QuotaShare::of);
    QuotaSimulation.Host host = alone.hosts.get(0);
    host.follow(QuotaSimulation.configuration(workspaces));
    workspaces
        .keySet()
        .forEach(name -> host.owners.decide(name, new PlacementKey(1, name.hashCode())));
    assertThat(host.owners.size()).isEqualTo(5_000);
    assertThat(host.owners.decide("unknown", new PlacementKey(1, 1)))
        .isEqualTo(QuotaDecision.UNDECIDED);
    host.follow(QuotaSimulation.configuration(RATE, BURST));
    assertThat(host.owners.size()).isEqualTo(5_000);
    alone.run(2_000, 0);
    assertThat(host.owners.size()).isZero();
  }

  /** Guards against memory that stays because a removed quota takes long to accrue again. */
  @Test
  void shouldForgetARemovedQuotaAfterTheRetentionTimeWhenItIsStillUsed() {
    var alone = new QuotaSimulation(1, 7, QuotaShare::of);
    alone.setQuota(0.001, BURST);
    alone.run(5_000, 0);
    QuotaOwners owners = alone.hosts.get(0).owners;
    owners.decide(QuotaSimulation.WORKSPACE, new PlacementKey(1, 1));
    alone.setWorkspaces(Map.of());
    alone.run(ConfiguredQuotas.RETENTION_MS - 2_000, 0);
    assertThat(owners.size()).isEqualTo(1);
    alone.run(4_000, 0);
    assertThat(owners.size()).isZero();
  }
}
