package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RequestQueueTest {
  private final FairShare fairShare = new FairShare();
  private final RequestQueue queue = new RequestQueue(fairShare);
  private long number;

  private PlacementRequest add(String workspace, int priority, long nowMs) {
    var request =
        new PlacementRequest(
            new PlacementKey(1, ++number),
            "dc",
            "r" + priority,
            priority,
            300,
            300,
            1_000,
            0,
            false,
            Set.of(),
            workspace);
    queue.add(request, nowMs);
    return request;
  }

  private List<PlacementKey> order(long nowMs) {
    return queue.inServiceOrder(queued -> true, nowMs).stream()
        .map(queued -> queued.request().key())
        .toList();
  }

  /** Guards against an order that changes on sites without workspaces. */
  @Test
  void shouldOrderByObjectivePriorityAndAgeOnlyWhenThereAreNoWorkspaces() {
    var random = new SplittableRandom(4);
    for (int round = 0; round < 200; round++) {
      var plain = new RequestQueue(fairShare);
      List<RequestQueue.QueuedRequest> all = new ArrayList<>();
      for (int i = 1; i <= 30; i++) {
        PlacementRequest request = add("", random.nextInt(4), 0);
        long queuedAtMs = random.nextInt(5);
        plain.add(request, queuedAtMs);
        all.add(new RequestQueue.QueuedRequest(request, queuedAtMs, i));
        fairShare.recordAsked("", queuedAtMs);
        fairShare.recordPlaced("", random.nextInt(500), queuedAtMs);
      }
      Comparator<RequestQueue.QueuedRequest> before =
          Comparator.comparing((RequestQueue.QueuedRequest q) -> !isOnTime(q))
              .thenComparingInt(q -> q.request().priority())
              .thenComparingLong(q -> -q.queuedAtMs())
              .thenComparingLong(q -> -q.arrivalNumber());
      assertThat(plain.inServiceOrder(RequestQueueTest::isOnTime, 5))
          .isEqualTo(all.stream().sorted(before).toList());
    }
  }

  private static boolean isOnTime(RequestQueue.QueuedRequest queued) {
    return queued.request().key().sequenceNumber() % 3 != 0;
  }

  @Test
  void shouldServeTheWorkspaceWithTheLeastUseFirstWithinAPriority() {
    fairShare.recordPlaced("busy", 500, 0);
    PlacementRequest idle = add("idle", 1, 0);
    PlacementRequest busy = add("busy", 1, 1);
    PlacementRequest urgent = add("busy", 0, 0);
    assertThat(order(1)).containsExactly(urgent.key(), idle.key(), busy.key());
  }

  /** Guards against a workspace that is punished for what it used long ago. */
  @Test
  void shouldForgetUseWhenTimePasses() {
    fairShare.recordPlaced("w", 800, 0);
    assertThat(fairShare.usedMs("w", 1_000)).isEqualTo(400);
    assertThat(fairShare.usedMs("w", 10_000)).isLessThan(1);
  }

  /** Guards against memory that grows with the number of workspaces. */
  @Test
  void shouldForgetTheWorkspacesWithTheLeastUseWhenThereAreTooMany() {
    fairShare.recordPlaced("busy", 5_000, 0);
    for (int i = 0; i < 3 * FairShare.MAX_WORKSPACES; i++) {
      fairShare.recordPlaced("w" + i, 1, 1);
      assertThat(fairShare.size()).isLessThanOrEqualTo(FairShare.MAX_WORKSPACES);
    }
    assertThat(fairShare.usedMs("busy", 1)).isGreaterThan(4_900);
  }
}
