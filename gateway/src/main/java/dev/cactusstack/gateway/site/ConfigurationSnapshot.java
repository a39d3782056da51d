package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.SiteConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

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

  /**
   * Converts this to a change that replaces all of an older configuration.
   *
   * @return a full snapshot
   */
  public ConfigurationChange toChange() {
    var rules =
        new ConfigurationChange.RoutingRules(
            configuration.version(),
            configuration.routes(),
            configuration.services(),
            configuration.limits(),
            configuration.access());
    Map<String, Boolean> evacuations = new HashMap<>();
    configuration.evacuated().forEach(dataCentre -> evacuations.put(dataCentre, true));
    Map<String, Optional<RolloutOrder>> rollouts = new HashMap<>();
    configuration.rollouts().forEach((service, order) -> rollouts.put(service, Optional.of(order)));
    return new ConfigurationChange(
        configuration.revision(),
        lastChangeRevision,
        true,
        Optional.of(rules),
        evacuations,
        rollouts);
  }
}
