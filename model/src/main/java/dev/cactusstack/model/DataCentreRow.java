package dev.cactusstack.model;

import java.util.List;
import java.util.Objects;

/**
 * An operator's decision on one data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param evacuated whether operators have taken it out
 * @param version the table revision that last changed the row
 * @param operations the ids of the last accepted operations, newest first
 */
public record DataCentreRow(
    DataCentre dataCentre, boolean evacuated, long version, List<String> operations) {

  /** Checks the components. */
  public DataCentreRow {
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    operations = List.copyOf(operations);
  }
}
