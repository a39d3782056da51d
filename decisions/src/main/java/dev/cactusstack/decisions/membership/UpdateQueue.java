package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of claims to disseminate. Each is sent a bounded number of times, the least sent first.
 *
 * <p>Confined to one thread.
 */
final class UpdateQueue {
  private static final int MAX_UPDATES_PER_MESSAGE = 5;
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<HostId, Integer> transmissions = new HashMap<>();

  void add(HostId id) {
    transmissions.put(id, 0);
  }

  void remove(HostId id) {
    transmissions.remove(id);
  }

  /** Selects the claims for one message. */
  List<Member> takeForMessage(Map<HostId, Member> members) {
    int limit = TRANSMISSIONS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(members.size()));
    List<HostId> chosen =
        transmissions.entrySet().stream()
            .sorted(Map.Entry.<HostId, Integer>comparingByValue().thenComparing(Map.Entry::getKey))
            .limit(MAX_UPDATES_PER_MESSAGE)
            .map(Map.Entry::getKey)
            .toList();
    var updates = new ArrayList<Member>();
    for (HostId id : chosen) {
      Member member = members.get(id);
      if (member != null) {
        updates.add(member);
      }
      transmissions.merge(id, 1, Integer::sum);
    }
    transmissions.values().removeIf(n -> n >= limit);
    updates.sort(Comparator.comparing(Member::id));
    return updates;
  }
}
