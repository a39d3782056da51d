package dev.cactusstack.decisions.workspaces;

import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.Workspace;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the workspace of an API key. Keys are compared by digest, so that the time of a comparison
 * does not tell a caller how much of a key is right.
 *
 * <p>Invariant: a key that several workspaces claim belongs to none of them, because its requests
 * could be charged to the wrong one. Whether a key is required does not follow from the keys: a
 * site whose last workspace was removed requires one that nobody has. Immutable and thread-safe.
 */
public final class WorkspaceKeys {
  /** The keys of an open site. */
  public static final WorkspaceKeys NONE = new WorkspaceKeys(false, Set.of());

  private final boolean required;
  private final Map<ApiKeyDigest, Workspace> workspaces = new HashMap<>();
  private final Set<ApiKeyDigest> sharedKeys = new HashSet<>();
  private final Set<String> sharingWorkspaces = new TreeSet<>();

  /**
   * Indexes the keys of a site whose callers need one.
   *
   * @param configured all workspaces of the site, possibly none
   */
  public WorkspaceKeys(Collection<Workspace> configured) {
    this(true, configured);
  }

  private WorkspaceKeys(boolean required, Collection<Workspace> configured) {
    this.required = required;
    for (Workspace workspace : configured) {
      for (ApiKeyDigest key : workspace.keys()) {
        Workspace other = workspaces.putIfAbsent(key, workspace);
        if (other != null) {
          sharedKeys.add(key);
          sharingWorkspaces.add(other.name());
          sharingWorkspaces.add(workspace.name());
        }
      }
    }
    workspaces.keySet().removeAll(sharedKeys);
  }

  /**
   * Indexes the keys of a configuration.
   *
   * @param access who may call the site
   * @return the keys of all workspaces
   */
  public static WorkspaceKeys of(CallerAccess access) {
    return access.requiresApiKey() ? new WorkspaceKeys(access.workspaces().values()) : NONE;
  }

  /**
   * Checks whether requests need a key.
   *
   * @return false if the site is open
   */
  public boolean areRequired() {
    return required;
  }

  /**
   * Finds the workspace of a key.
   *
   * @param key the digest of the key that a caller sent
   * @return the workspace; empty if none, or more than one, claims the key
   */
  public Optional<Workspace> find(ApiKeyDigest key) {
    return Optional.ofNullable(workspaces.get(key));
  }

  /**
   * Counts the keys that several workspaces claim.
   *
   * @return the number of distinct keys
   */
  public int sharedKeyCount() {
    return sharedKeys.size();
  }

  /**
   * Returns the workspaces that claim a key of another one.
   *
   * @return their names in alphabetical order
   */
  public Set<String> sharingWorkspaces() {
    return Collections.unmodifiableSet(sharingWorkspaces);
  }
}
