package dev.cactusstack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The two users' deployments at their current sizes. Immutable and thread-safe. */
public enum Deployment {
  /** Qazyna Opis Labs: three data centres in Almaty. */
  QAZYNA(
      "almaty",
      14,
      4,
      List.of(
          new Service("search", 10, 40),
          new Service("booking", 10, 30),
          new Service("scans", 6, 60))),
  /** Limpieza Integral Bajío: three data centres in the Bajío. */
  LIMPIEZA(
      "bajio",
      16,
      2,
      List.of(
          new Service("rosters", 20, 40),
          new Service("sign-offs", 12, 30),
          new Service("checklists", 6, 50)));

  private static final int DATA_CENTRE_COUNT = 3;

  /** Sigma of the log-normal distribution of the service time. */
  public static final double SERVICE_TIME_SIGMA = 0.3;

  private static final int COLD_CONCURRENCY_LIMIT = 1;
  private static final int WARM_UP_REQUESTS = 20;

  private final String dataCentrePrefix;
  private final int entryHosts;
  private final int slots;
  private final List<Service> services;

  /**
   * A service of a deployment.
   *
   * @param name name of the service
   * @param upstreamCount number of upstreams
   * @param medianServiceMs median service time, in milliseconds
   */
  public record Service(String name, int upstreamCount, double medianServiceMs) {}

  Deployment(String dataCentrePrefix, int entryHosts, int slots, List<Service> services) {
    this.dataCentrePrefix = dataCentrePrefix;
    this.entryHosts = entryHosts;
    this.slots = slots;
    this.services = services;
  }

  /**
   * Finds a deployment by name.
   *
   * @param name {@code qazyna} or {@code limpieza}
   * @return the deployment, or empty when the name is unknown
   */
  public static Optional<Deployment> ofName(String name) {
    for (Deployment d : values()) {
      if (d.label().equals(name)) {
        return Optional.of(d);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the deployment's name.
   *
   * @return the name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Lists the data centres.
   *
   * @return their names
   */
  public List<String> dataCentres() {
    var names = new ArrayList<String>();
    for (int i = 1; i <= DATA_CENTRE_COUNT; i++) {
      names.add(dataCentrePrefix + "-" + i);
    }
    return names;
  }

  /**
   * Returns the number of entry hosts to start for an experiment.
   *
   * @return the count
   */
  public int entryHosts() {
    return entryHosts;
  }

  /**
   * Returns the number of slots of each upstream.
   *
   * @return the count
   */
  public int slots() {
    return slots;
  }

  /**
   * Lists the services.
   *
   * @return the services
   */
  public List<Service> services() {
    return services;
  }

  /**
   * Lists the upstreams, spread evenly over the data centres.
   *
   * @param scale factor applied to the number of upstreams of each service
   * @return the specification of each upstream
   */
  public List<UpstreamSpec> upstreams(int scale) {
    var list = new ArrayList<UpstreamSpec>();
    List<String> dataCentres = dataCentres();
    for (int s = 0; s < services.size(); s++) {
      Service service = services.get(s);
      for (int i = 0; i < service.upstreamCount() * scale; i++) {
        String dataCentre = dataCentres.get((i + s) % DATA_CENTRE_COUNT);
        list.add(
            new UpstreamSpec(
                service.name(),
                dataCentre,
                slots,
                service.medianServiceMs(),
                SERVICE_TIME_SIGMA,
                COLD_CONCURRENCY_LIMIT,
                WARM_UP_REQUESTS));
      }
    }
    return list;
  }
}
