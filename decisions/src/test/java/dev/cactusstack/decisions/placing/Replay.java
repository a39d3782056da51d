package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Replays a load pattern in virtual time, with the scheduler or with a round-robin policy, on the
 * same arrivals, processing times and slowdowns.
 */
final class Replay {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final long OBJECTIVE_MS = 300;
  private static final long DEADLINE_MS = 1_000;
  private static final double PROCESSING_MS = 90;
  private static final double PROCESSING_SIGMA = 0.3;
  private static final long STEP_MS = 2;
  private static final long PROBE_INTERVAL_MS = 50;
  private static final long PROBE_ROUND_TRIP_MS = 5;
  private static final long REFUSAL_ROUND_TRIP_MS = 4;
  private static final int MAX_SENDS = 4;
  private static final long RETRY_KEY_OFFSET = 1_000_000;
  private static final long HANG_MS = 100_000;
  private static final int HOSTS = 6;
  private static final long HEDGE_AFTER_MS = 140;

  /** How the load and the upstreams change over time. */
  interface LoadPattern {
    /** Returns the arrival rate, in requests per second. */
    double requestsPerSecond(long nowMs);

    /** Returns the slowdown factor of an upstream; 0 if it hangs. */
    double slowdown(int upstream, long nowMs);

    /** Checks whether an upstream can be used. */
    default boolean isAvailable(int upstream, long nowMs) {
      return true;
    }

    /** Returns the share of its requests that an upstream refuses to run. */
    default double refusalShare(int upstream, long nowMs) {
      return 0;
    }

    /** Returns how much longer an upstream is cold, in milliseconds. */
    default long warmupRemainingMs(int upstream, long nowMs) {
      return 0;
    }
  }

  /** The slowdown factor of an upstream at a given time. */
  interface Slowdown {
    double of(int upstream, long nowMs);
  }

  /** Creates a pattern in which all upstreams are available and none is cold. */
  static LoadPattern pattern(LongToDoubleFunction rate, Slowdown pace) {
    return new LoadPattern() {
      @Override
      public double requestsPerSecond(long nowMs) {
        return rate.applyAsDouble(nowMs);
      }

      @Override
      public double slowdown(int upstream, long nowMs) {
        return pace.of(upstream, nowMs);
      }
    };
  }

  /** Baseline policy: any free slot in round-robin order; the oldest request is served first. */
  private static final class RoundRobinPolicy {
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

  private record Arrival(long atMs, double processingMs) {}

  private record RunningAttempt(
      Arrival arrival, PlacementKey key, int upstream, double processingRemainingMs) {}

  /** A placement that the upstream refuses at a given time. */
  private record Refusal(long atMs, PlacementDecision.Placed placed) {}

  /** The results as seen by callers. */
  record ReplayResult(int asked, int onTime, int late, int rejected, int maxColdPerSecond) {
    int missed() {
      return asked - onTime;
    }
  }

  private final int upstreams;
  private final int slots;
  private final long lengthMs;
  private final LoadPattern pattern;
  private final List<Arrival> arrivals = new ArrayList<>();

  Replay(int upstreams, int slots, long lengthMs, long seed, LoadPattern pattern) {
    this.upstreams = upstreams;
    this.slots = slots;
    this.lengthMs = lengthMs;
    this.pattern = pattern;
    var random = new SplittableRandom(seed);
    double at = 0;
    while (at < lengthMs) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / pattern.requestsPerSecond((long) at);
      arrivals.add(
          new Arrival(
              (long) at, PROCESSING_MS * Math.exp(PROCESSING_SIGMA * random.nextGaussian())));
    }
  }

  /** Simulates noisy neighbours: in each period a share of the upstreams is slower by a factor. */
  static double noise(long seed, int upstream, long nowMs, double share, double factor) {
    long period = (nowMs + upstream * 137L) / 500;
    var random = new SplittableRandom(seed * 1_000_003 + upstream * 7_919L + period);
    return random.nextDouble() < share ? factor : 1;
  }

  ReplayResult runRoundRobin() {
    var policy = new RoundRobinPolicy();
    List<RunningAttempt> running = new ArrayList<>();
    List<Arrival> line = new ArrayList<>();
    int[] count = new int[upstreams];
    var tally = new ResultCounter();
    int next = 0;
    for (long now = 0; now < lengthMs + DEADLINE_MS; now += STEP_MS) {
      for (RunningAttempt j : advance(running, now)) {
        count[j.upstream]--;
        tally.ended(j.arrival, now);
      }
      for (; next < arrivals.size() && arrivals.get(next).atMs <= now; next++) {
        line.add(arrivals.get(next));
      }
      boolean[] there = new boolean[upstreams];
      for (int u = 0; u < upstreams; u++) {
        there[u] = pattern.isAvailable(u, now);
      }
      while (!line.isEmpty()) {
        int u = policy.choose(count, there, slots);
        if (u < 0) {
          break;
        }
        Arrival a = line.remove(0);
        count[u]++;
        tally.sent(u, now);
        running.add(new RunningAttempt(a, new PlacementKey(0, 0), u, a.processingMs));
      }
    }
    return tally.outcome();
  }

  ReplayResult runScheduler(boolean probes) {
    return runScheduler(probes, SecondAttempt.NONE);
  }

  /** What happens to a request that has had no response for a while. */
  enum SecondAttempt {
    /** Nothing. */
    NONE,
    /** It requests a second slot like a new request. */
    AS_NEW_REQUEST,
    /** It requests a second slot as a hedge, which takes only spare slots. */
    HEDGE
  }

  ReplayResult runScheduler(boolean probes, SecondAttempt second) {
    var scheduler = new Scheduler(SETTINGS, new SplittableRandom(upstreams));
    var rule = new ServiceSettings("s", "/h", 100, 3_000, 14);
    List<RunningAttempt> running = new ArrayList<>();
    Map<PlacementKey, Arrival> asked = new HashMap<>();
    Set<Arrival> done = Collections.newSetFromMap(new IdentityHashMap<>());
    Set<Arrival> again = Collections.newSetFromMap(new IdentityHashMap<>());
    var probing = new PriorityQueue<long[]>((a, b) -> Long.compare(a[0], b[0]));
    var tally = new ResultCounter();
    int next = 0;
    Map<PlacementKey, Set<String>> refusedBy = new HashMap<>();
    var refusals = new PriorityQueue<Refusal>(Comparator.comparingLong(Refusal::atMs));
    var refusalRandom = new SplittableRandom(upstreams);
    long seconds = 0;
    for (long now = 0; now < lengthMs + DEADLINE_MS; now += STEP_MS) {
      if (now % 500 == 0) {
        scheduler.updateUpstreams(rule, entries(now), now);
      }
      List<PlacementDecision> verdicts = new ArrayList<>();
      for (RunningAttempt j : advance(running, now)) {
        if (done.add(j.arrival)) {
          tally.ended(j.arrival, now);
        }
        long took = now - j.arrival.atMs;
        verdicts.addAll(scheduler.report(report(j, took, now), now));
      }
      while (!probing.isEmpty() && probing.peek()[0] <= now) {
        int u = (int) probing.remove()[1];
        if (pattern.slowdown(u, now) > 0) {
          verdicts.addAll(scheduler.recordProbeResponse("u" + u, load(u, now), now));
        }
      }
      while (!refusals.isEmpty() && refusals.peek().atMs <= now) {
        verdicts.addAll(retryRefused(scheduler, refusals.remove(), refusedBy, asked, now));
      }
      if (probes && now % PROBE_INTERVAL_MS == 0) {
        for (UpstreamRegistration u : scheduler.selectProbeTargets(now)) {
          probing.add(
              new long[] {now + PROBE_ROUND_TRIP_MS, Integer.parseInt(u.id().substring(1))});
        }
      }
      for (; next < arrivals.size() && arrivals.get(next).atMs <= now; next++) {
        var key = new PlacementKey(1 + next % HOSTS, next);
        asked.put(key, arrivals.get(next));
        verdicts.addAll(scheduler.submit(request(key, 0, false, Set.of()), now));
      }
      for (RunningAttempt j :
          second == SecondAttempt.NONE ? List.<RunningAttempt>of() : List.copyOf(running)) {
        if (now - j.arrival.atMs >= HEDGE_AFTER_MS && again.add(j.arrival)) {
          var key = new PlacementKey(0, ++seconds);
          asked.put(key, j.arrival);
          long passed = now - j.arrival.atMs;
          boolean spare = second == SecondAttempt.HEDGE;
          Set<String> tried = Set.of("u" + j.upstream);
          verdicts.addAll(scheduler.submit(request(key, passed, spare, tried), now));
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
          if (refusalRandom.nextDouble() < pattern.refusalShare(u, now)) {
            refusals.add(new Refusal(now + REFUSAL_ROUND_TRIP_MS, p));
          } else {
            running.add(new RunningAttempt(a, v.key(), u, a.processingMs));
          }
        } else if (v instanceof PlacementDecision.Rejected && v.key().hostHash() != 0) {
          tally.rejected++;
        }
      }
    }
    return tally.outcome();
  }

  /** Creates a request whose caller has already waited for some time. */
  private static PlacementRequest request(
      PlacementKey key, long waitedMs, boolean hedge, Set<String> tried) {
    return new PlacementRequest(
        key,
        "dc",
        "r",
        1,
        OBJECTIVE_MS,
        Math.max(0, OBJECTIVE_MS - waitedMs),
        Math.max(0, DEADLINE_MS - waitedMs),
        0,
        hedge,
        tried);
  }

  /** Reports a refusal and requests another upstream for the request. */
  private List<PlacementDecision> retryRefused(
      Scheduler scheduler,
      Refusal refusal,
      Map<PlacementKey, Set<String>> refusedBy,
      Map<PlacementKey, Arrival> asked,
      long now) {
    PlacementKey key = refusal.placed.key();
    String upstream = refusal.placed.upstream().id();
    var report = new AttemptReport(key, upstream, AttemptOutcome.REFUSED, 1, Optional.empty());
    List<PlacementDecision> decisions = new ArrayList<>(scheduler.report(report, now));
    Set<String> tried = new HashSet<>(refusedBy.getOrDefault(key, Set.of()));
    tried.add(upstream);
    if (tried.size() >= MAX_SENDS) {
      return decisions;
    }
    var retryKey = new PlacementKey(key.hostHash(), key.sequenceNumber() + RETRY_KEY_OFFSET);
    refusedBy.put(retryKey, tried);
    Arrival arrival = asked.get(key);
    asked.put(retryKey, arrival);
    long passed = now - arrival.atMs;
    decisions.addAll(scheduler.submit(request(retryKey, passed, false, tried), now));
    return decisions;
  }

  private List<UpstreamRegistration> entries(long now) {
    List<UpstreamRegistration> out = new ArrayList<>();
    for (int u = 0; u < upstreams; u++) {
      if (pattern.isAvailable(u, now)) {
        var address = new Address("127.0.0.1", 1_000 + u);
        out.add(
            new UpstreamRegistration(
                "u" + u,
                "s",
                address,
                "dc",
                slots,
                false,
                pattern.warmupRemainingMs(u, now),
                1,
                0));
      }
    }
    return out;
  }

  private ReportedLoad load(int u, long now) {
    return new ReportedLoad(0, 0, slots, (int) Math.round(pattern.slowdown(u, now) * 100));
  }

  private AttemptReport report(RunningAttempt j, long took, long now) {
    AttemptOutcome end = took >= DEADLINE_MS ? AttemptOutcome.TIMED_OUT : AttemptOutcome.ANSWERED;
    return new AttemptReport(
        j.key, "u" + j.upstream, end, took, Optional.of(load(j.upstream, now)));
  }

  /** Advances by one step and returns the attempts that completed or reached the deadline. */
  private List<RunningAttempt> advance(List<RunningAttempt> running, long now) {
    List<RunningAttempt> ended = new ArrayList<>();
    for (int i = running.size() - 1; i >= 0; i--) {
      RunningAttempt j = running.get(i);
      double pace = pattern.slowdown(j.upstream, now);
      double left = pace == 0 ? HANG_MS : j.processingRemainingMs - STEP_MS / pace;
      if (left <= 0 || now - j.arrival.atMs >= DEADLINE_MS) {
        running.remove(i);
        ended.add(j);
      } else {
        running.set(i, new RunningAttempt(j.arrival, j.key, j.upstream, left));
      }
    }
    return ended;
  }

  /** Counts the results as seen by callers. */
  private final class ResultCounter {
    private int onTime;
    private int late;
    private int rejected;
    private int maxCold;
    private final Map<Integer, List<Long>> coldRequestTimesMs = new HashMap<>();

    void ended(Arrival a, long now) {
      long took = now - a.atMs;
      if (took <= OBJECTIVE_MS) {
        onTime++;
      } else if (took < DEADLINE_MS) {
        late++;
      }
    }

    void sent(int upstream, long now) {
      if (pattern.warmupRemainingMs(upstream, now) > 0) {
        List<Long> times = coldRequestTimesMs.computeIfAbsent(upstream, u -> new ArrayList<>());
        times.add(now);
        long since = now - 1_000;
        maxCold = Math.max(maxCold, (int) times.stream().filter(t -> t > since).count());
      }
    }

    ReplayResult outcome() {
      return new ReplayResult(arrivals.size(), onTime, late, rejected, maxCold);
    }
  }
}
