package dev.cactusstack.host.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.decisions.state.Observation;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.RouteKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RouteSchedulerTest {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");

  /** A request without a thread. */
  private static final class Request implements LeaseRequest {
    private Lease lease;
    private Problem problem;

    @Override
    public Set<Address> avoided() {
      return Set.of();
    }

    @Override
    public synchronized boolean isPending() {
      return lease == null && problem == null;
    }

    @Override
    public synchronized boolean grant(Lease l) {
      lease = l;
      return true;
    }

    @Override
    public synchronized void reject(Problem p) {
      problem = p;
    }

    synchronized Lease lease() {
      return lease;
    }
  }

  private static List<Upstream> warm(int count) {
    var list = new ArrayList<Upstream>();
    for (int i = 0; i < count; i++) {
      var u = new Upstream(new Address("10.0.0." + (i + 1), 80));
      for (int k = 0; k < 8; k++) {
        u.observe(new Observation.Success(10, true), 0);
      }
      list.add(u);
    }
    return list;
  }

  private static RouteScheduler scheduler(
      List<Upstream> ups, int limit, int perUpstream, int queue) {
    var s = new RouteScheduler(KEY, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, () -> 0);
    s.configure(ups, limit, perUpstream, queue);
    return s;
  }

  @Property(tries = 200, seed = "41")
  void shouldStayWithinEveryLimitWhenRequestsComeAndGo(
      @ForAll @IntRange(min = 1, max = 5) int upstreams,
      @ForAll @IntRange(max = 12) int limit,
      @ForAll @IntRange(min = 1, max = 4) int perUpstream,
      @ForAll int seed) {
    List<Upstream> ups = warm(upstreams);
    RouteScheduler s = scheduler(ups, limit, perUpstream, 50);
    var random = new Random(seed);
    var open = new ArrayList<Request>();
    for (int i = 0; i < 200; i++) {
      if (random.nextBoolean()) {
        var r = new Request();
        s.submit(r);
        open.add(r);
      }
      open.stream()
          .filter(r -> r.lease() != null)
          .findAny()
          .ifPresent(
              r -> {
                if (random.nextInt(3) == 0) {
                  open.remove(r);
                  r.lease().release();
                }
              });
      assertThat(s.inFlight()).isLessThanOrEqualTo(limit);
      assertThat(ups).allSatisfy(u -> assertThat(u.inFlight()).isBetween(0, perUpstream));
    }
  }

  @Property(tries = 100, seed = "42")
  void shouldServeEveryWaitingRequestWhenLeasesAreReleased(
      @ForAll @IntRange(min = 1, max = 40) int n) {
    RouteScheduler s = scheduler(warm(2), 3, 2, 50);
    var all = new ArrayList<Request>();
    for (int i = 0; i < n; i++) {
      var r = new Request();
      s.submit(r);
      all.add(r);
    }
    for (Request r : all) {
      assertThat(r.lease()).isNotNull();
      r.lease().release();
    }
    assertThat(s.inFlight()).isZero();
    assertThat(s.queueSize()).isZero();
  }

  @Test
  void shouldRefuseWithARemedyWhenTheQueueIsFull() {
    RouteScheduler s = scheduler(warm(1), 1, 1, 1);
    var requests = new ArrayList<Request>();
    for (int i = 0; i < 4; i++) {
      var r = new Request();
      s.submit(r);
      requests.add(r);
    }
    assertThat(requests.get(3).problem.kind()).isEqualTo(ProblemKind.OVERLOADED);
    assertThat(requests.get(3).problem.remedy()).isNotBlank();
  }

  @Test
  void shouldSendOneRequestAtATimeWhenAnUpstreamIsCold() {
    var cold = new Upstream(new Address("10.0.0.1", 80));
    RouteScheduler s = scheduler(List.of(cold), 10, 4, 50);
    for (int i = 0; i < 5; i++) {
      s.submit(new Request());
    }
    assertThat(cold.inFlight()).isEqualTo(1);
  }

  @Test
  void shouldReleaseOnceWhenReleasedTwice() {
    RouteScheduler s = scheduler(warm(1), 4, 4, 0);
    Lease l = s.tryAcquire(Set.of());
    l.release();
    l.release();
    assertThat(s.inFlight()).isZero();
  }

  @Test
  void shouldKeepItsLimitsWhenThreadsRace() throws InterruptedException {
    List<Upstream> ups = warm(3);
    RouteScheduler s = scheduler(ups, 5, 2, 10_000);
    var over = new AtomicInteger();
    var pool = Executors.newFixedThreadPool(4);
    for (int t = 0; t < 4; t++) {
      pool.execute(
          () -> {
            for (int i = 0; i < 5_000; i++) {
              Lease l = s.tryAcquire(Set.of());
              if (s.inFlight() > 5 || ups.stream().anyMatch(u -> u.inFlight() > 2)) {
                over.incrementAndGet();
              }
              if (l != null) {
                l.release();
              }
            }
          });
    }
    pool.shutdown();
    assertThat(pool.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
    assertThat(over).hasValue(0);
    assertThat(s.inFlight()).isZero();
  }
}
