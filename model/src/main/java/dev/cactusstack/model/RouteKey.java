package dev.cactusstack.model;

import java.util.Comparator;
import java.util.Objects;

/**
 * The key of a row of the configuration table: one service in one data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param dataCentre the data centre
 */
public record RouteKey(ServiceName service, DataCentre dataCentre) implements Comparable<RouteKey> {
  private static final Comparator<RouteKey> ORDER =
      Comparator.comparing(RouteKey::service).thenComparing(RouteKey::dataCentre);

  /** Checks the components. */
  public RouteKey {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Creates a key from valid names.
   *
   * @param service a valid service name
   * @param dataCentre a valid data centre name
   * @return the key
   */
  public static RouteKey of(String service, String dataCentre) {
    return new RouteKey(new ServiceName(service), new DataCentre(dataCentre));
  }

  @Override
  public int compareTo(RouteKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return service + "/" + dataCentre;
  }
}
