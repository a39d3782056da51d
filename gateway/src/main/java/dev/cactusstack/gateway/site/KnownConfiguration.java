package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.SiteConfiguration;
import java.util.Objects;

/**
 * A configuration with the revision of its newest change. Immutable and thread-safe.
 *
 * @param configuration all that operators say, as of its revision
 * @param changedAt the store's revision of the newest change in it
 */
public record KnownConfiguration(SiteConfiguration configuration, long changedAt) {
  /** Checks the components. */
  public KnownConfiguration {
    Objects.requireNonNull(configuration, "configuration is null");
  }
}
