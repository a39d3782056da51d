package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Plays a load pattern in virtual time, once with the scheduler and once with an earlier decision,
 * on the same arrivals, work and slow-downs.
 */
final class Replay {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final long OBJECTIVE_MS = 300;
  private static final long LEFT_MS = 1_000;
  private static final double WORK_MS = 90;
  private static final double SPREAD = 0.3;
  private static final long STEP_MS = 2;
  private static final long PROBE_MS = 50;
  private static final long WAY_MS = 5;
  private static final long HANG_MS = 100_000;
  private static final int HOSTS = 6;
  private static final long SECOND_AFTER_MS = 140;

  /** How the load and the upstreams change over time. */
  interface Pattern {
    /** Requests a second. */
    double rate(long nowMs);

    /** How much longer than usual work takes on an upstream; 0 if it hangs. */
    double pace(int upstream, long nowMs);

    /** Tells whether an upstream may be used. */
    default boolean there(int upstream, long nowMs) {
      return true;
    }

    /** Tells how much longer an upstream is cold. */
    default long coldMs(int upstream, long nowMs) {
      return 0;
    }
  }

  /** How much longer than usual work takes on an upstream at a moment. */
  interface Pace {
    double of(int upstream, long nowMs);
  }

  /** A pattern in which all upstreams are there and none is cold. */
  static Pattern pattern(LongToDoubleFunction rate, Pace pace) {
    return new Pattern() {
      @Override
      public double rate(long nowMs) {
        return rate.applyAsDouble(nowMs);
      }

      @Override
      public double pace(int upstream, long nowMs) {
        return pace.of(upstream, nowMs);
      }
    };
  }

  /** Decides as the hosts did before: any free slot in turn, the oldest waits first. */
  private static final class InTurn {
    private int next;

    int choose(int[] running, boolean[] there, int slots) {
      for (int i = 0; i < running.length; i++) {
        int u = (next + i) % running.length;
        if (there[u] && running[u] < slots) {
          next = u + 1;
          return u;
        }
      }
      return -1;
    }
  }

  private record Arrival(long atMs, double workMs) {}

  private record Job(Arrival arrival, PlacementKey key, int upstream, double leftMs) {}

  /** What callers saw. */
  record Outcome(int asked, int onTime, int late, int turnedAway, int mostColdASecond) {
    int missed() {
      return asked - onTime;
    }
  }

  private final int upstreams;
  private final int slots;
  private final long lengthMs;
  private final Pattern pattern;
  private final List<Arrival> arrivals = new ArrayList<>();

  Replay(int upstreams, int slots, long lengthMs, long seed, Pattern pattern) {
    this.upstreams = upstreams;
    this.slots = slots;
    this.lengthMs = lengthMs;
    this.pattern = pattern;
    var random = new SplittableRandom(seed);
    double at = 0;
    while (at < lengthMs) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / pattern.rate((long) at);
      arrivals.add(new Arrival((long) at, WORK_MS * Math.exp(SPREAD * random.nextGaussian())));
    }
  }

  /** Noisy neighbours: in each period some upstreams are several times slower. */
  static double noise(long seed, int upstream, long nowMs, double share, double factor) {
    long period = (nowMs + upstream * 137L) / 500;
    var random = new SplittableRandom(seed * 1_000_003 + upstream * 7_919L + period);
    return random.nextDouble() < share ? factor : 1;
  }

  Outcome inTurn() {
    var policy = new InTurn();
    List<Job> running = new ArrayList<>();
    List<Arrival> line = new ArrayList<>();
    int[] count = new int[upstreams];
    var tally = new Tally();
    int next = 0;
    for (long now = 0; now < lengthMs + LEFT_MS; now += STEP_MS) {
      for (Job j : advance(running, now)) {
        count[j.upstream]--;
        tally.ended(j.arrival, now);
      }
      for (; next < arrivals.size() && arrivals.get(next).atMs <= now; next++) {
        line.add(arrivals.get(next));
      }
      boolean[] there = new boolean[upstreams];
      for (int u = 0; u < upstreams; u++) {
        there[u] = pattern.there(u, now);
      }
      while (!line.isEmpty()) {
        int u = policy.choose(count, there, slots);
        if (u < 0) {
          break;
        }
        Arrival a = line.remove(0);
        count[u]++;
        tally.sent(u, now);
        running.add(new Job(a, new PlacementKey(0, 0), u, a.workMs));
      }
    }
    return tally.outcome();
  }

  Outcome scheduled(boolean probes) {
    return scheduled(probes, Second.NONE);
  }

  /** What happens to a request that has not been answered for a while. */
  enum Second {
    /** Nothing. */
    NONE,
    /** It asks for a second slot as if it were a new request. */
    LIKE_FIRST,
    /** It asks for a second slot that is left over. */
    SPARE
  }

  Outcome scheduled(boolean probes, Second second) {
    var scheduler = new Scheduler(SETTINGS);
    var rule = new ServiceSettings("s", "/h", 100, 3_000, 14);
    List<Job> running = new ArrayList<>();
    Map<PlacementKey, Arrival> asked = new HashMap<>();
    Set<Arrival> done = Collections.newSetFromMap(new IdentityHashMap<>());
    Set<Arrival> again = Collections.newSetFromMap(new IdentityHashMap<>());
    var probing = new PriorityQueue<long[]>((a, b) -> Long.compare(a[0], b[0]));
    var tally = new Tally();
    int next = 0;
    long seconds = 0;
    for (long now = 0; now < lengthMs + LEFT_MS; now += STEP_MS) {
      if (now % 500 == 0) {
        scheduler.updateUpstreams(rule, entries(now), now);
      }
      List<PlacementDecision> verdicts = new ArrayList<>();
      for (Job j : advance(running, now)) {
        if (done.add(j.arrival)) {
          tally.ended(j.arrival, now);
        }
        long took = now - j.arrival.atMs;
        verdicts.addAll(scheduler.report(report(j, took, now), now));
      }
      while (!probing.isEmpty() && probing.peek()[0] <= now) {
        int u = (int) probing.remove()[1];
        if (pattern.pace(u, now) > 0) {
          verdicts.addAll(scheduler.recordProbeResponse("u" + u, load(u, now), now));
        }
      }
      if (probes && now % PROBE_MS == 0) {
        for (UpstreamRegistration u : scheduler.selectProbeTargets(now)) {
          probing.add(new long[] {now + WAY_MS, Integer.parseInt(u.id().substring(1))});
        }
      }
      for (; next < arrivals.size() && arrivals.get(next).atMs <= now; next++) {
        var key = new PlacementKey(1 + next % HOSTS, next);
        asked.put(key, arrivals.get(next));
        verdicts.addAll(
            scheduler.submit(
                new PlacementRequest(
                    key, "dc", "r", 1, OBJECTIVE_MS, OBJECTIVE_MS, LEFT_MS, 0, false, Set.of()),
                now));
      }
      for (Job j : second == Second.NONE ? List.<Job>of() : List.copyOf(running)) {
        if (now - j.arrival.atMs >= SECOND_AFTER_MS && again.add(j.arrival)) {
          var key = new PlacementKey(0, ++seconds);
          asked.put(key, j.arrival);
          long passed = now - j.arrival.atMs;
          boolean spare = second == Second.SPARE;
          Set<String> tried = Set.of("u" + j.upstream);
          verdicts.addAll(
              scheduler.submit(
                  new PlacementRequest(
                      key,
                      "dc",
                      "r",
                      1,
                      OBJECTIVE_MS,
                      Math.max(0, OBJECTIVE_MS - passed),
                      Math.max(0, LEFT_MS - passed),
                      0,
                      spare,
                      tried),
                  now));
        }
      }
      if (now % 20 == 0) {
        verdicts.addAll(scheduler.tick(now));
      }
      for (PlacementDecision v : verdicts) {
        if (v instanceof PlacementDecision.Placed p) {
          int u = Integer.parseInt(p.upstream().id().substring(1));
          Arrival a = asked.get(v.key());
          tally.sent(u, now);
          running.add(new Job(a, v.key(), u, a.workMs));
        } else if (v instanceof PlacementDecision.Rejected && v.key().hostHash() != 0) {
          tally.turnedAway++;
        }
      }
    }
    return tally.outcome();
  }

  private List<UpstreamRegistration> entries(long now) {
    List<UpstreamRegistration> out = new ArrayList<>();
    for (int u = 0; u < upstreams; u++) {
      if (pattern.there(u, now)) {
        var address = new Address("127.0.0.1", 1_000 + u);
        out.add(
            new UpstreamRegistration(
                "u" + u, "s", address, "dc", slots, false, pattern.coldMs(u, now), 1));
      }
    }
    return out;
  }

  private ReportedLoad load(int u, long now) {
    return new ReportedLoad(0, 0, slots, (int) Math.round(pattern.pace(u, now) * 100));
  }

  private AttemptReport report(Job j, long took, long now) {
    AttemptOutcome end = took >= LEFT_MS ? AttemptOutcome.TIMED_OUT : AttemptOutcome.ANSWERED;
    return new AttemptReport(
        j.key, "u" + j.upstream, end, took, Optional.of(load(j.upstream, now)));
  }

  /** Lets a step of work pass; returns what has ended, by its work or by its caller's patience. */
  private List<Job> advance(List<Job> running, long now) {
    List<Job> ended = new ArrayList<>();
    for (int i = running.size() - 1; i >= 0; i--) {
      Job j = running.get(i);
      double pace = pattern.pace(j.upstream, now);
      double left = pace == 0 ? HANG_MS : j.leftMs - STEP_MS / pace;
      if (left <= 0 || now - j.arrival.atMs >= LEFT_MS) {
        running.remove(i);
        ended.add(j);
      } else {
        running.set(i, new Job(j.arrival, j.key, j.upstream, left));
      }
    }
    return ended;
  }

  /** Counts what callers saw. */
  private final class Tally {
    private int onTime;
    private int late;
    private int turnedAway;
    private int mostCold;
    private final Map<Integer, List<Long>> cold = new HashMap<>();

    void ended(Arrival a, long now) {
      long took = now - a.atMs;
      if (took <= OBJECTIVE_MS) {
        onTime++;
      } else if (took < LEFT_MS) {
        late++;
      }
    }

    void sent(int upstream, long now) {
      if (pattern.coldMs(upstream, now) > 0) {
        List<Long> times = cold.computeIfAbsent(upstream, u -> new ArrayList<>());
        times.add(now);
        long since = now - 1_000;
        mostCold = Math.max(mostCold, (int) times.stream().filter(t -> t > since).count());
      }
    }

    Outcome outcome() {
      return new Outcome(arrivals.size(), onTime, late, turnedAway, mostCold);
    }
  }
}
