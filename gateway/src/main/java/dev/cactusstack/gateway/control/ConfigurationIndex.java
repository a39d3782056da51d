package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.matching.RouteMatcher;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.site.SiteConfiguration;
import java.util.List;

/** Indexes the routes and API keys of the rules in force. Confined to the event loop. */
final class ConfigurationIndex {
  /** Keeps a log line short when many workspaces share keys. */
  private static final int MAX_LOGGED_WORKSPACES = 10;

  private final EventLog log;
  private RouteMatcher routeMatcher = new RouteMatcher(List.of());
  private WorkspaceKeys workspaceKeys = WorkspaceKeys.NONE;

  /**
   * Creates an index without routes and keys.
   *
   * @param log logs keys that workspaces share
   */
  ConfigurationIndex(EventLog log) {
    this.log = log;
  }

  /**
   * Returns the matcher for the routes in force.
   *
   * @return the matcher, without routes before a configuration is known
   */
  RouteMatcher routeMatcher() {
    return routeMatcher;
  }

  /**
   * Returns the API keys in force.
   *
   * @return the keys of all workspaces, none before a configuration is known
   */
  WorkspaceKeys workspaceKeys() {
    return workspaceKeys;
  }

  /**
   * Replaces the index after a change of the rules.
   *
   * @param configuration the configuration in force
   */
  void update(SiteConfiguration configuration) {
    routeMatcher = new RouteMatcher(configuration.routes());
    workspaceKeys = WorkspaceKeys.of(configuration.access());
    logSharedKeys(configuration.version());
  }

  private void logSharedKeys(long version) {
    if (workspaceKeys.sharedKeyCount() > 0) {
      log.event("api_keys_shared")
          .with("version", version)
          .with("keys", workspaceKeys.sharedKeyCount())
          .with(
              "workspaces",
              workspaceKeys.sharingWorkspaces().stream()
                  .limit(MAX_LOGGED_WORKSPACES)
                  .toList()
                  .toString())
          .write();
    }
  }
}
