package dev.cactusstack.model.site;

import java.util.Map;

/**
 * Who may call a site: anybody, or only callers with the API key of a workspace.
 *
 * <p>Invariants: a site that is open has no workspaces. A site that requires API keys goes on to
 * require them when its last workspace is removed; then only public routes can be called. Immutable
 * and thread-safe.
 *
 * @param requiresApiKey whether callers need an API key, except on public routes
 * @param workspaces all workspaces by name
 */
public record CallerAccess(boolean requiresApiKey, Map<String, Workspace> workspaces) {
  /** The access to a site without workspaces, whose callers need no API key. */
  public static final CallerAccess OPEN = new CallerAccess(false, Map.of());

  /** Checks and copies the components. */
  public CallerAccess {
    workspaces = Map.copyOf(workspaces);
    if (!requiresApiKey && !workspaces.isEmpty()) {
      throw new IllegalArgumentException("an open site has no workspaces");
    }
  }

  /**
   * Creates the access to a site whose callers need an API key.
   *
   * @param workspaces all workspaces by name, possibly none
   * @return the access
   */
  public static CallerAccess byApiKey(Map<String, Workspace> workspaces) {
    return new CallerAccess(true, workspaces);
  }
}
