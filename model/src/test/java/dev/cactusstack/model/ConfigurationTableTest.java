package dev.cactusstack.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Orders, repetitions and losses of configuration changes. */
class ConfigurationTableTest {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");

  @Provide
  Arbitrary<List<ConfigurationTable>> changes() {
    Arbitrary<ConfigurationTable> change =
        Combinators.combine(
                Arbitraries.integers().between(1, 40), Arbitraries.of("almaty-1", "almaty-2"))
            .as(ConfigurationTableTest::change);
    return change.list().ofMinSize(1).ofMaxSize(12);
  }

  /** A row whose content is decided by its version, as the table service guarantees. */
  private static ConfigurationTable change(int version, String dataCentre) {
    var key = RouteKey.of("search", dataCentre);
    var rows = new TreeMap<RouteKey, Route>();
    rows.put(key, new Route(key, version * 7 % 100, version, 1, version, List.of("op" + version)));
    return new ConfigurationTable(version, rows, new TreeMap<>());
  }

  @Property(tries = 300, seed = "17")
  void shouldReachTheSameTableWhenChangesArriveInAnyOrder(
      @ForAll("changes") List<ConfigurationTable> changes, @ForAll int seed) {
    ConfigurationTable inOrder = changes.stream().reduce(ConfigurationTable.EMPTY, ConfigurationTable::merge);
    var shuffled = new java.util.ArrayList<>(changes);
    Collections.shuffle(shuffled, new Random(seed));
    ConfigurationTable other = shuffled.stream().reduce(ConfigurationTable.EMPTY, ConfigurationTable::merge);
    assertThat(other).isEqualTo(inOrder);
  }

  @Property(tries = 300, seed = "18")
  void shouldNeverRevertARowWhenChangesRepeat(@ForAll("changes") List<ConfigurationTable> changes) {
    ConfigurationTable t = ConfigurationTable.EMPTY;
    for (ConfigurationTable c : changes) {
      ConfigurationTable next = t.merge(c).merge(c);
      assertThat(next.version()).isGreaterThanOrEqualTo(t.version());
      long before = t.route(KEY).map(Route::version).orElse(0L);
      assertThat(next.route(KEY).map(Route::version).orElse(0L)).isGreaterThanOrEqualTo(before);
      t = next;
    }
  }

  @Property(tries = 200, seed = "19")
  void shouldCatchUpWhenChangesAfterItsVersionAreMerged(
      @ForAll("changes") List<ConfigurationTable> changes, @ForAll("changes") List<ConfigurationTable> missed) {
    ConfigurationTable reader = changes.stream().reduce(ConfigurationTable.EMPTY, ConfigurationTable::merge);
    ConfigurationTable source = reader;
    for (ConfigurationTable m : missed) {
      // The source only commits above its version, as the table service does.
      ConfigurationTable raised = change((int) source.version() + 1, m.routes().firstKey().dataCentre().value());
      source = source.merge(raised);
    }
    assertThat(reader.merge(source.changesAfter(reader.version()))).isEqualTo(source);
  }
}
