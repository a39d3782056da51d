package dev.cactusstack.settings;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * The platform's services. Immutable and thread-safe.
 *
 * @param address where the table service and the host list are served
 * @param timeoutMs how long one request may take
 * @param readIntervalMs between two reads of the table by one of its readers
 */
public record PlatformSettings(Address address, int timeoutMs, int readIntervalMs) {

  /** Checks the address. */
  public PlatformSettings {
    Objects.requireNonNull(address, "address is null");
  }

  static PlatformSettings read(Section s) {
    var settings =
        new PlatformSettings(
            s.address("address", "127.0.0.1:9000"),
            (int) s.integer("timeout_ms", 1_000, 50, 60_000),
            (int) s.integer("read_interval_ms", 1_000, 100, 60_000));
    s.rejectUnknownKeys();
    return settings;
  }
}
