package dev.cactusstack.link;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.Route;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A position in the rows of a table, in the order of (version, key).
 *
 * <p>A reader that follows the positions to the end has every row up to the version of the last
 * page, also when rows change meanwhile: a changed row moves to a later position. Immutable and
 * thread-safe.
 *
 * @param version the version of the last row read
 * @param key the key of the last row read
 */
public record ChangeCursor(long version, String key) implements Comparable<ChangeCursor> {
  private static final Comparator<ChangeCursor> ORDER =
      Comparator.comparingLong(ChangeCursor::version).thenComparing(ChangeCursor::key);
  private static final String MAX_KEY = "~";

  /** Checks the key. */
  public ChangeCursor {
    Objects.requireNonNull(key, "key is null");
  }

  /**
   * Returns the position after all rows of a version.
   *
   * @param version the version that the reader has
   * @return the position
   */
  public static ChangeCursor afterVersion(long version) {
    return new ChangeCursor(version, MAX_KEY);
  }

  /**
   * Returns the position of the last row of a page.
   *
   * @param page the page
   * @return the position to continue from, or the start when the page has no rows
   */
  public static ChangeCursor ofLastRow(ConfigurationTable page) {
    return positions(page).stream().reduce((a, b) -> b).orElse(new ChangeCursor(0, ""));
  }

  /**
   * Takes the rows after this position.
   *
   * @param table the table to read from
   * @param count most rows to take
   * @return the page
   */
  public LinkBody.ChangesPage readPage(ConfigurationTable table, int count) {
    List<ChangeCursor> rest = positions(table).stream().filter(c -> c.compareTo(this) > 0).toList();
    List<ChangeCursor> taken = rest.subList(0, Math.min(count, rest.size()));
    var routes = new TreeMap<>(table.routes());
    routes.values().removeIf(r -> !taken.contains(positionOf(r)));
    var dataCentres = new TreeMap<>(table.dataCentres());
    dataCentres.values().removeIf(d -> !taken.contains(positionOf(d)));
    var page = new ConfigurationTable(table.version(), routes, dataCentres);
    return new LinkBody.ChangesPage(page, taken.size() < rest.size());
  }

  private static List<ChangeCursor> positions(ConfigurationTable table) {
    List<ChangeCursor> all = new ArrayList<>();
    table.routes().values().forEach(r -> all.add(positionOf(r)));
    table.dataCentres().values().forEach(d -> all.add(positionOf(d)));
    all.sort(ORDER);
    return all;
  }

  private static ChangeCursor positionOf(Route r) {
    return new ChangeCursor(r.version(), "route/" + r.key());
  }

  private static ChangeCursor positionOf(DataCentreRow d) {
    return new ChangeCursor(d.version(), "data-centre/" + d.dataCentre());
  }

  @Override
  public int compareTo(ChangeCursor o) {
    return ORDER.compare(this, o);
  }
}
