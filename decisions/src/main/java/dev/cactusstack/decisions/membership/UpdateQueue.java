package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims that still have to be passed on, each a bounded number of times, least sent first.
 *
 * <p>Confined to one thread.
 */
final class UpdateQueue {
  private static final int PER_MESSAGE = 5;
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<HostId, Integer> sent = new HashMap<>();

  void add(HostId id) {
    sent.put(id, 0);
  }

  void remove(HostId id) {
    sent.remove(id);
  }

  /** Takes the claims for one message to a group of the given size. */
  List<Member> take(Map<HostId, Member> members) {
    int limit = TRANSMISSIONS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(members.size()));
    List<HostId> chosen =
        sent.entrySet().stream()
            .sorted(Map.Entry.<HostId, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
            .limit(PER_MESSAGE)
            .map(Map.Entry::getKey)
            .toList();
    var updates = new ArrayList<Member>();
    for (HostId id : chosen) {
      Member m = members.get(id);
      if (m != null) {
        updates.add(m);
      }
      sent.merge(id, 1, Integer::sum);
    }
    sent.values().removeIf(n -> n >= limit);
    updates.sort(Comparator.comparing(Member::id));
    return updates;
  }
}
