package dev.cactusstack.host.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.recovery.EditPlan;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.Edit;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.storage.TableStore;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class EditServiceTest {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");

  /** A table service in memory that is down after a number of reads. */
  private static final class FailingStore implements TableStore {
    private final boolean loseCommits;
    private ConfigurationTable table;
    private int readsLeft;

    FailingStore(int readsLeft, boolean loseCommits) {
      this.readsLeft = readsLeft;
      this.loseCommits = loseCommits;
      this.table = tableOf(new Route(KEY, 20, 40, 4, 1, List.of()));
    }

    private static ConfigurationTable tableOf(Route r) {
      var rows = new TreeMap<RouteKey, Route>();
      rows.put(KEY, r);
      return new ConfigurationTable(r.version(), rows, new TreeMap<>());
    }

    @Override
    public CompletableFuture<ConfigurationTable> readChanges(long revision) {
      return readsLeft-- > 0
          ? CompletableFuture.completedFuture(table.changesAfter(revision))
          : CompletableFuture.failedFuture(new HttpException(false, "down"));
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(
        List<Route> routes, List<DataCentreRow> dataCentres) {
      Route row = routes.get(0);
      if (row.version() != table.version()) {
        return CompletableFuture.completedFuture(new CommitOutcome.VersionMismatch());
      }
      table = tableOf(row.withVersion(table.version() + 1));
      return loseCommits
          ? CompletableFuture.failedFuture(new HttpException(true, "the answer was lost"))
          : CompletableFuture.completedFuture(new CommitOutcome.Committed(table.version()));
    }
  }

  private static ConfigurationController configuration(TableStore store) {
    Address a = new Address("127.0.0.1", 7946);
    var info = new MemberInfo(1, new DataCentre("almaty-1"), a, a, a, 0, false, List.of());
    var self = new Member(new HostId("a-1"), 1, MemberStatus.ALIVE, info);
    var members = new MembershipController(self, (to, m) -> {}, () -> 0, new Random(1));
    return new ConfigurationController(
        store, members, (to, m) -> {}, Runnable::run, () -> 0, 1_000);
  }

  private static EditPlan plan() {
    var values = new TreeMap<RouteColumn, Integer>();
    values.put(RouteColumn.WEIGHT, 33);
    return new EditPlan(
        "op-1", List.of(new Edit(KEY, values, OptionalLong.empty())), OptionalLong.empty());
  }

  private static int weightInForce(ConfigurationController c) {
    return c.inForce().route(KEY).map(Route::weight).orElse(-1);
  }

  @Test
  void shouldBeInForceWhenTheTableGoesDownRightAfterTheCommit() {
    var store = new FailingStore(1, false);
    ConfigurationController configuration = configuration(store);
    EditOutcome o = new EditService(store, configuration).commit(plan()).join();
    assertThat(o).isEqualTo(new EditOutcome.Accepted(2));
    assertThat(weightInForce(configuration)).isEqualTo(33);
    assertThat(configuration.inForce().version()).isEqualTo(2);
  }

  @Test
  void shouldBeAcceptedWhenTheAnswerIsLostButARowTells() {
    var store = new FailingStore(2, true);
    ConfigurationController configuration = configuration(store);
    EditOutcome o = new EditService(store, configuration).commit(plan()).join();
    assertThat(o).isEqualTo(new EditOutcome.Accepted(2));
    assertThat(weightInForce(configuration)).isEqualTo(33);
  }

  @Test
  void shouldBeUnknownWhenTheAnswerIsLostAndNothingTells() {
    var store = new FailingStore(1, true);
    EditOutcome o = new EditService(store, configuration(store)).commit(plan()).join();
    assertThat(o).isInstanceOf(EditOutcome.Unknown.class);
    assertThat(((EditOutcome.Unknown) o).operation()).isEqualTo("op-1");
  }

  @Test
  void shouldBeNotAcceptedWhenTheTableIsDownFromTheStart() {
    var store = new FailingStore(0, false);
    EditOutcome o = new EditService(store, configuration(store)).commit(plan()).join();
    assertThat(o).isInstanceOf(EditOutcome.NotAccepted.class);
  }
}
