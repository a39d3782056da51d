package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.ServiceName;
import java.util.Objects;

/**
 * How many requests of a service a member receives from callers. Immutable and thread-safe.
 *
 * @param service the service
 * @param perSecond the smoothed arrival rate, in requests a second
 */
public record ServiceRate(ServiceName service, float perSecond) {

  /** Checks the service. */
  public ServiceRate {
    Objects.requireNonNull(service, "service is null");
  }
}
