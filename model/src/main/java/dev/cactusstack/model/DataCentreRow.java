package dev.cactusstack.model;

import java.util.List;
import java.util.Objects;

/**
 * A row of the configuration table: whether operators have evacuated one data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param evacuated whether the data centre is evacuated, so that it receives no traffic
 * @param version the table revision that last changed the row
 * @param operations the ids of the most recently accepted operations on this row, newest first
 */
public record DataCentreRow(
    DataCentre dataCentre, boolean evacuated, long version, List<String> operations) {

  /** Checks the components. */
  public DataCentreRow {
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    operations = List.copyOf(operations);
  }
}
