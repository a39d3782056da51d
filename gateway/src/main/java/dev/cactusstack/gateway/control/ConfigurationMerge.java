package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.SiteConfiguration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Merges a change into a configuration. Stateless and thread-safe. */
final class ConfigurationMerge {
  private ConfigurationMerge() {}

  /**
   * Merges a change, but for its evacuations, which may be held after a restore.
   *
   * @param previous the configuration in force, if one is known
   * @param change the change
   * @param takesRules whether the rules of the change, which it then has, replace those in force
   * @return the configuration after the change with the evacuations before it, or null if there are
   *     no rules
   */
  static @Nullable SiteConfiguration merge(
      @Nullable SiteConfiguration previous, ConfigurationChange change, boolean takesRules) {
    if (takesRules) {
      ConfigurationChange.RoutingRules routingRules = change.rules().orElseThrow();
      return new SiteConfiguration(
          change.revision(),
          routingRules.version(),
          routingRules.routes(),
          routingRules.services(),
          routingRules.limits(),
          previous == null ? Set.of() : previous.evacuated(),
          routingRules.access(),
          mergeRollouts(previous, change));
    }
    if (previous == null) {
      return null;
    }
    return new SiteConfiguration(
        change.revision(),
        previous.version(),
        previous.routes(),
        previous.services(),
        previous.limits(),
        previous.evacuated(),
        previous.access(),
        mergeRollouts(previous, change));
  }

  /**
   * Compares the rules that operators write under one version.
   *
   * @param a a configuration
   * @param b another
   * @return true if they differ at most in revision, evacuations and rollout orders
   */
  static boolean hasSameRules(SiteConfiguration a, SiteConfiguration b) {
    return a.version() == b.version()
        && a.routes().equals(b.routes())
        && a.services().equals(b.services())
        && a.limits().equals(b.limits())
        && a.access().equals(b.access());
  }

  /**
   * Merges the evacuations of a change.
   *
   * @param previous names of the data centres that the store had as evacuated
   * @param change the change
   * @return names of those that it has after the change
   */
  static Set<String> mergeEvacuated(Set<String> previous, ConfigurationChange change) {
    Set<String> evacuated = new HashSet<>();
    if (!change.fullSnapshot()) {
      evacuated.addAll(previous);
    }
    change
        .evacuations()
        .forEach(
            (evacuationKey, isEvacuated) -> {
              if (isEvacuated) {
                evacuated.add(evacuationKey);
              } else {
                evacuated.remove(evacuationKey);
              }
            });
    return evacuated;
  }

  private static Map<String, RolloutOrder> mergeRollouts(
      @Nullable SiteConfiguration previous, ConfigurationChange change) {
    Map<String, RolloutOrder> rollouts = new HashMap<>();
    if (previous != null && !change.fullSnapshot()) {
      rollouts.putAll(previous.rollouts());
    }
    change
        .rollouts()
        .forEach(
            (service, order) ->
                order.ifPresentOrElse(
                    placed -> rollouts.put(service, placed), () -> rollouts.remove(service)));
    return rollouts;
  }
}
