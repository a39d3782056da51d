package dev.cactusstack.settings;

import dev.cactusstack.model.Address;
import java.util.ArrayList;
import java.util.List;

/**
 * The port for callers. Immutable and thread-safe.
 *
 * @param address where callers connect
 * @param ioThreads threads that perform input and output
 * @param maxHeaderBytes largest header section of a request
 * @param maxBodyBytes largest body of a request
 * @param receiveTimeoutMs how long a request's header section, or a pause inside its body, may last
 * @param idleTimeoutMs how long a connection may stay without a request
 * @param entriesTtlMs how long callers may keep the answer to a look-up
 * @param networks which data centre is nearest to which callers
 */
public record CallerListenerSettings(
    Address address,
    int ioThreads,
    int maxHeaderBytes,
    long maxBodyBytes,
    int receiveTimeoutMs,
    int idleTimeoutMs,
    int entriesTtlMs,
    List<Network> networks) {

  /** Copies the networks. */
  public CallerListenerSettings {
    networks = List.copyOf(networks);
  }

  static CallerListenerSettings read(Section s) {
    int cores = Runtime.getRuntime().availableProcessors();
    var settings =
        new CallerListenerSettings(
            s.address("address", "127.0.0.1:8080"),
            (int) s.integer("io_threads", Math.min(4, cores), 1, 64),
            (int) s.integer("max_header_bytes", 16_384, 1_024, 262_144),
            s.integer("max_body_bytes", 4L << 30, 0, 1L << 40),
            (int) s.integer("receive_timeout_ms", 30_000, 100, 600_000),
            (int) s.integer("idle_timeout_ms", 60_000, 1_000, 3_600_000),
            (int) s.integer("entries_ttl_ms", 5_000, 1_000, 60_000),
            networks(s));
    s.rejectUnknownKeys();
    return settings;
  }

  private static List<Network> networks(Section s) {
    var list = new ArrayList<Network>();
    for (Section n : s.sections("networks")) {
      var dataCentre =
          n.parsed("data_centre", "example-1", dev.cactusstack.model.DataCentre::parse);
      list.add(n.parsed("prefix", "10.1.0.0/16", t -> Network.parse(t, dataCentre)));
      n.rejectUnknownKeys();
    }
    return list;
  }
}
