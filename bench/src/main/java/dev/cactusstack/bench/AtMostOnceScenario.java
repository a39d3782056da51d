package dev.cactusstack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.standin.Deployment.Service;
import dev.cactusstack.standin.UpstreamCondition;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends non-idempotent requests with unique ids while upstreams reject requests, fail, stop
 * responding and truncate responses, and while two hosts are killed. The stand-ins count the actual
 * executions. Used for one run.
 */
final class AtMostOnceScenario implements Scenario {
  private static final int REQUEST_COUNT = 100_000;
  private static final int MAX_CONCURRENT_REQUESTS = 400;
  private static final long FAULT_DURATION_MS = 300;
  private static final String SETTINGS =
      ", \"requests\": {\"answer_timeout_ms\": 700, \"queue_timeout_ms\": 3000}";
  private static final byte[] BODY =
      "{\"delo\": 17}".getBytes(java.nio.charset.StandardCharsets.UTF_8);

  private final AtomicLong executedTwice = new AtomicLong();
  private final AtomicLong reportedNotRunButExecuted = new AtomicLong();
  private final AtomicLong wrongResponses = new AtomicLong();
  private final AtomicLong truncated = new AtomicLong();
  private final AtomicLong unknown = new AtomicLong();
  private final AtomicLong notRun = new AtomicLong();
  private final AtomicLong served = new AtomicLong();

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var cluster = BenchCluster.withFastUpstreams(o, SETTINGS)) {
      int requests = REQUEST_COUNT;
      var running = new boolean[] {true};
      BackgroundTask<Integer> faults =
          BackgroundTask.start(
              "faults", () -> injectFaults(cluster, new Random(o.seed()), running));
      long start = System.nanoTime();
      sendAll(cluster, o, requests);
      double seconds = (System.nanoTime() - start) / 1e9;
      running[0] = false;
      int injectedFaults = faults.join();
      // An execution that began before its caller timed out may be counted late.
      TimeUnit.SECONDS.sleep(1);
      for (int i = 0; i < requests; i++) {
        executedTwice.addAndGet(cluster.standIns.executionCounter().count("r" + i) > 1 ? 1 : 0);
      }
      return ResultLine.of("at-most-once", o)
          .with("sent", requests)
          .with("doubled", executedTwice.get())
          .with("told_not_run_but_ran", reportedNotRunButExecuted.get())
          .with("wrong_answer", wrongResponses.get())
          .with("truncated", truncated.get())
          .with("unknown", unknown.get())
          .with("not_run", notRun.get())
          .with("served", served.get())
          .with("faults", injectedFaults)
          .with("seconds", seconds);
    }
  }

  private void sendAll(BenchCluster cluster, BenchOptions o, int requests)
      throws InterruptedException {
    var inFlightPermits = new Semaphore(MAX_CONCURRENT_REQUESTS);
    var remaining = new CountDownLatch(requests);
    List<Service> services = o.deployment().services();
    for (int i = 0; i < requests; i++) {
      inFlightPermits.acquire();
      String id = "r" + i;
      String service = services.get(i % services.size()).name();
      var template =
          new LoadClient.Call(
              "", "POST", "/reserve", Map.of("Host", service, "X-Request-Id", id), BODY);
      cluster.entryPolicy.send(
          i,
          service,
          template,
          r -> {
            recordResult(cluster, id, r);
            inFlightPermits.release();
            remaining.countDown();
          });
    }
    remaining.await(60, TimeUnit.SECONDS);
  }

  private void recordResult(BenchCluster cluster, String id, CallResult r) {
    if (r.isOk()) {
      served.incrementAndGet();
      JsonNode n = Json.parse(r.body()).orElse(Json.newObject());
      truncated.addAndGet(n.isEmpty() ? 1 : 0);
      wrongResponses.addAndGet(!n.isEmpty() && !n.path("request_id").asText().equals(id) ? 1 : 0);
      return;
    }
    if ("not-run".equals(r.headers().get("cactusstack-outcome"))) {
      notRun.incrementAndGet();
      reportedNotRunButExecuted.addAndGet(cluster.standIns.executionCounter().count(id));
    } else {
      unknown.incrementAndGet();
    }
  }

  /** Injects one random fault at a time into a random upstream, and kills two hosts meanwhile. */
  private static int injectFaults(BenchCluster cluster, Random random, boolean[] running)
      throws InterruptedException {
    List<UpstreamStandIn> candidates = cluster.standIns.upstreams();
    int faultCount = 0;
    while (running[0]) {
      UpstreamStandIn u = candidates.get(random.nextInt(candidates.size()));
      u.setCondition(faultyCondition(random.nextInt(6)));
      faultCount++;
      TimeUnit.MILLISECONDS.sleep(FAULT_DURATION_MS);
      u.setCondition(UpstreamCondition.HEALTHY);
      if (faultCount == 4 || faultCount == 9) {
        cluster
            .embeddedHosts
            .hosts()
            .get(faultCount % cluster.embeddedHosts.hosts().size())
            .close();
      }
    }
    return faultCount;
  }

  private static UpstreamCondition faultyCondition(int kind) {
    UpstreamCondition healthy = UpstreamCondition.HEALTHY;
    return switch (kind) {
      case 0 -> healthy.withSlowdown(200);
      case 1 -> new UpstreamCondition(1, true, false, false, false, false, false);
      case 2 -> new UpstreamCondition(1, false, true, false, false, false, false);
      case 3 -> new UpstreamCondition(1, false, false, false, true, false, false);
      case 4 -> new UpstreamCondition(1, false, false, false, false, true, false);
      default -> healthy.withStalledResponses();
    };
  }
}
