package dev.cactusstack.gateway.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests of workspaces.
 *
 * <p>Invariant: at most {@value #MAX_WORKSPACES} workspaces are counted separately, in the order of
 * their first requests; the others are counted together. Confined to the event loop.
 */
public final class WorkspaceMetrics {
  static final int MAX_WORKSPACES = 100;

  /** The label of requests with a key that belongs to no workspace. */
  public static final String NO_WORKSPACE = "";

  /** The outcome of a request that was answered with an upstream's response. */
  public static final String ANSWERED = "answered";

  private static final String OTHER_WORKSPACES = "other";

  private final Map<String, Counts> workspaces = new LinkedHashMap<>();
  private final Counts unknown = new Counts();

  /**
   * Records a request that arrived.
   *
   * @param workspace the name of its workspace, or {@link #NO_WORKSPACE}
   */
  public void recordRequest(String workspace) {
    countsOf(workspace).requests++;
  }

  /**
   * Records how a request ended.
   *
   * @param workspace the name of its workspace, or {@link #NO_WORKSPACE}
   * @param outcome {@link #ANSWERED}, or the reason for which it was not; one of a small set
   */
  public void recordOutcome(String workspace, String outcome) {
    countsOf(workspace).outcomes.merge(outcome, 1L, Long::sum);
  }

  private Counts countsOf(String workspace) {
    if (workspace.equals(NO_WORKSPACE)) {
      return unknown;
    }
    Counts existing = workspaces.get(workspace);
    if (existing != null) {
      return existing;
    }
    String label = workspaces.size() < MAX_WORKSPACES ? workspace : OTHER_WORKSPACES;
    return workspaces.computeIfAbsent(label, name -> new Counts());
  }

  /** Returns the counts by label, without those of workspaces that had no request. */
  Map<String, Counts> byLabel() {
    Map<String, Counts> counts = new LinkedHashMap<>(workspaces);
    if (unknown.requests > 0) {
      counts.put(NO_WORKSPACE, unknown);
    }
    return counts;
  }

  /** The counts of one label. Confined to the event loop. */
  static final class Counts {
    private final Map<String, Long> outcomes = new TreeMap<>();
    private long requests;

    long requests() {
      return requests;
    }

    Map<String, Long> outcomes() {
      return outcomes;
    }
  }
}
