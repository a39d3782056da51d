package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.model.Address;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the last reports to each scheduler to send them again, because datagrams may be lost, and
 * remembers for longer which placements were reported.
 *
 * <p>Invariants: a report is sent again only to the scheduler of its own service, and says what is
 * true of its upstream at that time. Confined to the event loop.
 */
final class RecentReports {
  private static final int REPEATED_REPORTS = 2;
  private static final int MAX_REPORTED_PLACEMENTS = 1_000;

  private final Map<Receiver, Deque<KeptReport>> reports = new HashMap<>();

  private final Map<PlacementKey, Address> schedulerByPlacement =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PlacementKey, Address> eldest) {
          return size() > MAX_REPORTED_PLACEMENTS;
        }
      };

  /** Checks whether a placement of a scheduler has lately been reported. */
  boolean contains(Address scheduler, PlacementKey key) {
    return scheduler.equals(schedulerByPlacement.get(key));
  }

  /** Adds a report and returns it with the earlier ones that are to be sent again. */
  List<AttemptReport> add(Address scheduler, String service, AttemptReport report, long nowMs) {
    schedulerByPlacement.put(report.key(), scheduler);
    Deque<KeptReport> previous =
        reports.computeIfAbsent(new Receiver(scheduler, service), r -> new ArrayDeque<>());
    List<AttemptReport> sent = new ArrayList<>();
    sent.add(report);
    previous.forEach(kept -> sent.add(kept.report.agedBy(nowMs - kept.sentAtMs)));
    previous.addFirst(new KeptReport(report, nowMs));
    while (previous.size() > REPEATED_REPORTS) {
      previous.removeLast();
    }
    return sent;
  }

  private record KeptReport(AttemptReport report, long sentAtMs) {}

  private record Receiver(Address scheduler, String service) {}
}
