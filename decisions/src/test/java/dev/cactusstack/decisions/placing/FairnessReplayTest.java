package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays callers that ask for more than their part of a full service. */
class FairnessReplayTest {
  private static final int UPSTREAMS = 12;
  private static final long LENGTH_MS = 20_000;
  private static final long SEED = 11;
  private static final int WORKSPACES = 16;
  private static final double USUAL_RATE = 14;

  /**
   * The others send less than the service can take, so nearly all their requests have to be on
   * time.
   */
  private static final double ON_TIME_SHARE = 0.95;

  private static final class NeverOwed extends FairShare {
    @Override
    boolean isOwed(String workspace) {
      return false;
    }
  }

  private static List<ServiceReplay.Source> withUsualOthers(ServiceReplay.Source first) {
    List<ServiceReplay.Source> sources = new ArrayList<>();
    sources.add(first);
    for (int i = 1; i < WORKSPACES; i++) {
      sources.add(new ServiceReplay.Source("w" + i, USUAL_RATE));
    }
    return sources;
  }

  private static ServiceReplay.Source misbehaving(double rate, ServiceReplay.Behaviour behaviour) {
    return new ServiceReplay.Source("first", "r", 1, rate, behaviour);
  }

  private static List<ServiceReplay.Result> run(List<ServiceReplay.Source> sources) {
    return new ServiceReplay(sources, UPSTREAMS, LENGTH_MS, SEED).run();
  }

  private static List<ServiceReplay.Result> runWithoutWorkspaces(
      List<ServiceReplay.Source> sources) {
    return run(sources.stream().map(ServiceReplay.Source::withoutWorkspace).toList());
  }

  private static double onTimeShareOfOthers(List<ServiceReplay.Result> results) {
    List<ServiceReplay.Result> others = results.subList(1, results.size());
    int asked = others.stream().mapToInt(ServiceReplay.Result::asked).sum();
    return others.stream().mapToInt(ServiceReplay.Result::onTime).sum() / (double) asked;
  }

  private static double answeredShareOfAll(List<ServiceReplay.Result> results) {
    int asked = results.stream().mapToInt(ServiceReplay.Result::asked).sum();
    return results.stream().mapToInt(ServiceReplay.Result::answered).sum() / (double) asked;
  }

  /** Guards against one workspace that takes the slots of all others. */
  @Test
  void shouldServeTheOtherWorkspacesWhenOneSendsSevenAndAHalfTimesItsUsualLoad() {
    var heavy = misbehaving(7.5 * USUAL_RATE, ServiceReplay.Behaviour.PATIENT);
    double fair = onTimeShareOfOthers(run(withUsualOthers(heavy)));
    double unfair = onTimeShareOfOthers(runWithoutWorkspaces(withUsualOthers(heavy)));
    assertThat(fair).isGreaterThan(ON_TIME_SHARE);
    assertThat(unfair).isLessThan(ON_TIME_SHARE);
  }

  /** Guards against callers that get slots by asking again and again. */
  @Test
  void shouldServeTheOtherWorkspacesWhenOneRetriesImmediately() {
    var retrying = misbehaving(7.5 * USUAL_RATE, ServiceReplay.Behaviour.IMPATIENT);
    double fair = onTimeShareOfOthers(run(withUsualOthers(retrying)));
    double unfair = onTimeShareOfOthers(runWithoutWorkspaces(withUsualOthers(retrying)));
    assertThat(fair).isGreaterThan(ON_TIME_SHARE);
    assertThat(unfair).isLessThan(ON_TIME_SHARE);
  }

  /** Guards against callers that occupy slots with requests whose answers nobody awaits. */
  @Test
  void shouldServeTheOtherWorkspacesWhenOneAbandonsItsRequests() {
    var abandoning = misbehaving(1.5, ServiceReplay.Behaviour.ABANDONING);
    double fair = onTimeShareOfOthers(run(withUsualOthers(abandoning)));
    double unfair = onTimeShareOfOthers(runWithoutWorkspaces(withUsualOthers(abandoning)));
    assertThat(fair).isGreaterThan(ON_TIME_SHARE);
    assertThat(unfair).isLessThan(ON_TIME_SHARE);
  }

  /** Guards against a workspace that gets nothing, because others always used less. */
  @Test
  void shouldServeAHeavyWorkspaceAtLeastAQuarterAsOftenAsAllWhenOthersFillTheService() {
    List<ServiceReplay.Source> sources = new ArrayList<>();
    sources.add(new ServiceReplay.Source("first", "r", 1, 200, ServiceReplay.Behaviour.PATIENT));
    for (int i = 1; i < 40; i++) {
      sources.add(new ServiceReplay.Source("w" + i, 7.5));
    }
    List<ServiceReplay.Result> results = run(sources);
    List<ServiceReplay.Result> withoutFloor =
        new ServiceReplay(sources, UPSTREAMS, LENGTH_MS, SEED, new NeverOwed()).run();
    assertThat(results.get(0).answeredShare())
        .isGreaterThanOrEqualTo(FairShare.MIN_SERVED_RATIO * answeredShareOfAll(results));
    assertThat(withoutFloor.get(0).answeredShare())
        .isLessThan(FairShare.MIN_SERVED_RATIO * answeredShareOfAll(withoutFloor));
  }
}
