package dev.cactusstack.host.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.storage.TableStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the controller in virtual time, with a table service that does not respond. */
class ConfigurationControllerTest {
  private static final HostId SELF = new HostId("a-1");

  private final MembershipController members =
      new MembershipController(member(SELF, 7946, 0), (to, m) -> {}, () -> 0, new Random(1));
  private final ConfigurationController configuration =
      new ConfigurationController(
          new SilentStore(), members, (to, m) -> {}, Runnable::run, () -> 0, 1_000);

  /** A table service that never responds. */
  private static final class SilentStore implements TableStore {
    @Override
    public CompletableFuture<ConfigurationTable> readChanges(long revision) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(
        List<Route> routes, List<DataCentreRow> dataCentres) {
      return new CompletableFuture<>();
    }
  }

  private static Member member(HostId id, int port, long version) {
    Address a = new Address("127.0.0.1", port);
    var info = new MemberInfo(1, new DataCentre("almaty-1"), a, a, a, version, false, List.of());
    return new Member(id, 1, MemberStatus.ALIVE, info);
  }

  private static ConfigurationTable table(int rows, long version) {
    var routes = new TreeMap<RouteKey, Route>();
    for (int i = 0; i < rows; i++) {
      RouteKey k = RouteKey.of("service-" + i, "almaty-1");
      routes.put(k, new Route(k, 20, 40, 4, version, List.of()));
    }
    return new ConfigurationTable(version, routes, new TreeMap<>());
  }

  @Test
  void shouldAnnounceAVersionOnlyWhenTheListenersUseIt() {
    var announcedBefore = new ArrayList<Long>();
    configuration.addListener(
        t -> announcedBefore.add(members.members().get(SELF).info().configVersion()));
    configuration.applyAsync(table(1, 5));
    assertThat(announcedBefore).containsExactly(0L);
    assertThat(members.members().get(SELF).info().configVersion()).isEqualTo(5);
  }
}
