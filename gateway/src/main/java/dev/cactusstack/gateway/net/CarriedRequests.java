package dev.cactusstack.gateway.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that a connection has carried, the current one among them.
 *
 * <p>Invariant: holds no more than the ids of the last 32. Confined to the event loop.
 */
public final class CarriedRequests {
  /** Late responses come soon after their requests. */
  private static final int MAX_REMEMBERED_IDS = 32;

  private final Deque<String> ids = new ArrayDeque<>();
  private int count;

  /**
   * Adds the request that the connection carries next.
   *
   * @param matcher knows the id of the request, if it has one
   */
  public void add(ResponseMatcher matcher) {
    count++;
    matcher.requestId().ifPresent(this::remember);
  }

  private void remember(String id) {
    ids.addFirst(id);
    if (ids.size() > MAX_REMEMBERED_IDS) {
      ids.removeLast();
    }
  }

  /**
   * Checks whether the connection has carried a single request.
   *
   * @return true if no response can be that to another request
   */
  public boolean isOnlyOne() {
    return count == 1;
  }

  /**
   * Checks whether the connection has carried a request lately.
   *
   * @param id the id of the request
   * @return false if the request was not sent on this connection, or is no longer remembered
   */
  public boolean include(String id) {
    return ids.contains(id);
  }
}
