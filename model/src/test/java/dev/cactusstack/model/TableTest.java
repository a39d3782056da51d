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
class TableTest {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");

  @Provide
  Arbitrary<List<Table>> changes() {
    Arbitrary<Table> change =
        Combinators.combine(
                Arbitraries.integers().between(1, 40), Arbitraries.of("almaty-1", "almaty-2"))
            .as(TableTest::change);
    return change.list().ofMinSize(1).ofMaxSize(12);
  }

  /** A row whose content is decided by its version, as the table service guarantees. */
  private static Table change(int version, String dataCentre) {
    var key = RouteKey.of("search", dataCentre);
    var rows = new TreeMap<RouteKey, Route>();
    rows.put(key, new Route(key, version * 7 % 100, version, 1, version, List.of("op" + version)));
    return new Table(version, rows, new TreeMap<>());
  }

  @Property(tries = 300, seed = "17")
  void shouldReachTheSameTableWhenChangesArriveInAnyOrder(
      @ForAll("changes") List<Table> changes, @ForAll int seed) {
    Table inOrder = changes.stream().reduce(Table.EMPTY, Table::merge);
    var shuffled = new java.util.ArrayList<>(changes);
    Collections.shuffle(shuffled, new Random(seed));
    Table other = shuffled.stream().reduce(Table.EMPTY, Table::merge);
    assertThat(other).isEqualTo(inOrder);
  }

  @Property(tries = 300, seed = "18")
  void shouldNeverRevertARowWhenChangesRepeat(@ForAll("changes") List<Table> changes) {
    Table t = Table.EMPTY;
    for (Table c : changes) {
      Table next = t.merge(c).merge(c);
      assertThat(next.version()).isGreaterThanOrEqualTo(t.version());
      long before = t.route(KEY).map(Route::version).orElse(0L);
      assertThat(next.route(KEY).map(Route::version).orElse(0L)).isGreaterThanOrEqualTo(before);
      t = next;
    }
  }

  @Property(tries = 200, seed = "19")
  void shouldCatchUpWhenChangesAfterItsVersionAreMerged(
      @ForAll("changes") List<Table> changes, @ForAll("changes") List<Table> missed) {
    Table reader = changes.stream().reduce(Table.EMPTY, Table::merge);
    Table source = reader;
    for (Table m : missed) {
      // The source only commits above its version, as the table service does.
      Table raised = change((int) source.version() + 1, m.routes().firstKey().dataCentre().value());
      source = source.merge(raised);
    }
    assertThat(reader.merge(source.changesAfter(reader.version()))).isEqualTo(source);
  }
}
