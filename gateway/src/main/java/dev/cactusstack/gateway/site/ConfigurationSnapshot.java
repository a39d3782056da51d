package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.SiteConfiguration;
import java.util.Objects;

/**
 * A configuration with the revision of its newest change. Immutable and thread-safe.
 *
 * @param configuration all that operators say, as of its revision
 * @param lastChangeRevision the store's revision of the newest change in it
 */
public record ConfigurationSnapshot(SiteConfiguration configuration, long lastChangeRevision) {
  /** Checks the components. */
  public ConfigurationSnapshot {
    Objects.requireNonNull(configuration, "configuration is null");
  }
}
