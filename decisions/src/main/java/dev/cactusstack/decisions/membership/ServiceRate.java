package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.ServiceName;
import java.util.Objects;

/**
 * The rate at which a member receives requests for a service from callers. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param perSecond the smoothed arrival rate, in requests per second
 */
public record ServiceRate(ServiceName service, float perSecond) {

  /** Checks the service. */
  public ServiceRate {
    Objects.requireNonNull(service, "service is null");
  }
}
