package dev.cactusstack.host.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.link.ChangeCursor;
import dev.cactusstack.link.LinkBody;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.storage.TableStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the controller in virtual time, with a table service that does not respond. */
class ConfigurationControllerTest {
  private static final Logger LOGGER = Logger.getLogger(ConfigurationController.class.getName());
  private static final int ROWS = 12;
  private static final int ROWS_PER_PAGE = 3;
  private static final long PULL_TIMEOUT_MS = 200;
  private static final HostId SELF = new HostId("a-1");
  private static final Member NEWER_HOST = member(new HostId("a-2"), 7947, 1);

  private long nowMs;
  private final Queue<Query> sent = new ArrayDeque<>();
  private final MembershipController members =
      new MembershipController(member(SELF, 7946, 0), (to, m) -> {}, this::nowNanos, new Random(1));
  private final ConfigurationController configuration =
      new ConfigurationController(
          new SilentStore(), members, this::recordQuery, Runnable::run, this::nowNanos, 1_000);

  @BeforeAll
  static void omitEvents() {
    LOGGER.setLevel(Level.WARNING);
  }

  /** A query that this host sent. */
  private record Query(Address to, ChangeCursor cursor) {}

  /** A page on the network. */
  private record SentPage(Address from, LinkBody.ChangesPage page) {}

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

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void recordQuery(Address to, LinkMessage m) {
    sent.add(new Query(to, ((LinkBody.ChangesQuery) m.body()).cursor()));
  }

  private static Member member(HostId id, int port, long version) {
    Address a = new Address("127.0.0.1", port);
    var info =
        new MemberInfo(1 + version, new DataCentre("almaty-1"), a, a, a, version, false, List.of());
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

  private void hear(Member m) {
    members.receive(
        m.info().link(),
        new ProbeMessage.Ping(1),
        new LinkMessage(m, List.of(), new LinkBody.FailureDetection(new ProbeMessage.Ping(1))));
  }

  private static LinkBody.ChangesPage answer(Query q, ConfigurationTable source) {
    return q.cursor().readPage(source, ROWS_PER_PAGE);
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

  @Test
  void shouldHaveEveryRowWhenAPageArrivesAfterItsQueryWasRepeated() {
    ConfigurationTable source = table(ROWS, 1);
    Address from = NEWER_HOST.info().link();
    hear(NEWER_HOST);
    configuration.tick();
    configuration.receivePage(from, answer(sent.remove(), source));
    LinkBody.ChangesPage latePage = answer(sent.remove(), source);
    nowMs += PULL_TIMEOUT_MS;
    configuration.tick();
    configuration.receivePage(from, latePage);
    while (!sent.isEmpty()) {
      configuration.receivePage(from, answer(sent.remove(), source));
    }
    assertThat(configuration.inForce()).isEqualTo(source);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void shouldHaveEveryRowOfTheVersionInForceWhenPagesAreLateLostOrReordered(long seed) {
    var random = new Random(seed);
    List<ConfigurationTable> history = new ArrayList<>(List.of(ConfigurationTable.EMPTY));
    history.add(table(ROWS, 1));
    configuration.addListener(
        t -> assertThat(t).as("seed " + seed).isEqualTo(history.get((int) t.version())));
    var versions = new TreeMap<Address, Integer>();
    List<Member> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(member(new HostId("b-" + i), 8_000 + i, 1));
      versions.put(hosts.get(i).info().link(), 1);
    }
    hosts.forEach(this::hear);
    List<SentPage> network = new ArrayList<>();
    for (int step = 0; step < 4_000; step++) {
      nowMs += random.nextInt(150);
      if (random.nextInt(20) == 0) {
        history.add(edited(history.get(history.size() - 1), random));
      }
      Member m = hosts.get(random.nextInt(hosts.size()));
      if (random.nextInt(10) == 0) {
        int version = history.size() - 1;
        versions.put(m.info().link(), version);
        hear(member(m.id(), m.info().link().port(), version));
      }
      configuration.tick();
      while (!sent.isEmpty()) {
        Query q = sent.remove();
        ConfigurationTable source = history.get(versions.get(q.to()));
        network.add(new SentPage(q.to(), answer(q, source)));
      }
      if (!network.isEmpty() && random.nextBoolean()) {
        SentPage p = network.remove(random.nextInt(network.size()));
        if (random.nextInt(10) > 0) {
          configuration.receivePage(p.from(), p.page());
        }
      }
    }
    assertThat(configuration.inForce().version()).isPositive();
  }

  private static ConfigurationTable edited(ConfigurationTable before, Random random) {
    var rows = new TreeMap<>(before.routes());
    for (int i = 0; i <= random.nextInt(6); i++) {
      Route r = List.copyOf(rows.values()).get(random.nextInt(rows.size()));
      rows.put(r.key(), r.withVersion(before.version() + 1));
    }
    return new ConfigurationTable(before.version() + 1, rows, before.dataCentres());
  }
}
