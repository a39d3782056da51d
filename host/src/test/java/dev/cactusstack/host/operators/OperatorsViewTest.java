package dev.cactusstack.host.operators;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.recovery.DataCentrePlan;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.control.ConfigurationController;
import dev.cactusstack.host.control.EditService;
import dev.cactusstack.host.control.MembershipController;
import dev.cactusstack.host.control.UpstreamsController;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.storage.HostChanges;
import dev.cactusstack.storage.TableStore;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests what operators see while the host's control loop has not run yet. */
class OperatorsViewTest {
  private static final DataCentre DATA_CENTRE = new DataCentre("almaty-1");

  private final Queue<Runnable> loop = new ArrayDeque<>();
  private final TableStore store = new OneRowStore();
  private final MembershipController members =
      new MembershipController(self(), (to, m) -> {}, () -> 0, new Random(1));
  private final ConfigurationController configuration =
      new ConfigurationController(store, members, (to, m) -> {}, loop::add, () -> 0, 1_000);
  private final OperatorsView view =
      new OperatorsView(
          self().id(),
          configuration,
          members,
          new UpstreamsController(
              r -> new CompletableFuture<HostChanges>(),
              members,
              loop::add,
              () -> 0,
              LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
              1),
          () -> 0);

  /** A table service with one data centre at version 1. */
  private static final class OneRowStore implements TableStore {
    @Override
    public CompletableFuture<ConfigurationTable> readChanges(long revision) {
      var rows = new TreeMap<DataCentre, DataCentreRow>();
      rows.put(DATA_CENTRE, new DataCentreRow(DATA_CENTRE, false, 1, List.of()));
      return CompletableFuture.completedFuture(
          new ConfigurationTable(1, new TreeMap<>(), rows).changesAfter(revision));
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(
        List<Route> routes, List<DataCentreRow> dataCentres) {
      return CompletableFuture.completedFuture(new CommitOutcome.Committed(2));
    }
  }

  private static Member self() {
    Address a = new Address("127.0.0.1", 7946);
    var info = new MemberInfo(1, DATA_CENTRE, a, a, a, 0, false, List.of());
    return new Member(new HostId("a-1"), 1, MemberStatus.ALIVE, info);
  }

  private void runLoop() {
    for (Runnable task = loop.poll(); task != null; task = loop.poll()) {
      task.run();
    }
  }

  @Test
  void shouldNotReportAnAcceptedVersionInForceWhenThisHostHasNotAppliedIt() {
    var plan = new DataCentrePlan("op-1", DATA_CENTRE, true, true);
    EditOutcome o = new EditService(store, configuration).commit(plan).join();
    assertThat(o).isEqualTo(new EditOutcome.Accepted(2));
    assertThat(view.inForce().path("version").asLong()).isEqualTo(2);
    assertThat(view.inForce().path("in_force").asInt()).isZero();
    runLoop();
    assertThat(configuration.inForce().isEvacuated(DATA_CENTRE)).isTrue();
    assertThat(view.inForce().path("in_force").asInt()).isEqualTo(1);
  }
}
