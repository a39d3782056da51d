package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.SiteConfiguration;
import java.util.Objects;

/**
 * A configuration with the revision of its newest change. Immutable and thread-safe.
 *
 * @param configuration the full configuration as of its revision
 * @param lastChangeRevision the store's revision of the newest change in it
 * @param rulesEra the store's era in which its rules were read, earlier than that of its revision
 *     if the store was restored and has only older rules
 */
public record ConfigurationSnapshot(
    SiteConfiguration configuration, long lastChangeRevision, long rulesEra) {
  /** Checks the components. */
  public ConfigurationSnapshot {
    Objects.requireNonNull(configuration, "configuration is null");
  }
}
