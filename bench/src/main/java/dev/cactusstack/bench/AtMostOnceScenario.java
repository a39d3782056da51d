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
 * Non-idempotent requests, each with an id, while upstreams refuse, fail, go silent and cut answers
 * and two hosts are killed; the stand-ins keep the true count of runs. Used for one run.
 */
final class AtMostOnceScenario implements Scenario {
  private static final int MIN_REQUESTS = 100_000;
  private static final int CONCURRENT = 400;
  private static final long FAULT_MS = 300;
  private static final String SETTINGS =
      ", \"requests\": {\"answer_timeout_ms\": 700, \"queue_timeout_ms\": 3000}";
  private static final byte[] BODY =
      "{\"delo\": 17}".getBytes(java.nio.charset.StandardCharsets.UTF_8);

  private final AtomicLong doubled = new AtomicLong();
  private final AtomicLong notRunButRan = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final AtomicLong truncated = new AtomicLong();
  private final AtomicLong unknown = new AtomicLong();
  private final AtomicLong notRun = new AtomicLong();
  private final AtomicLong served = new AtomicLong();

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = Stage.withQuickUpstreams(o, SETTINGS)) {
      int requests = MIN_REQUESTS;
      var running = new boolean[] {true};
      Background<Integer> faults =
          Background.start("faults", () -> cause(stage, new Random(o.seed()), running));
      long start = System.nanoTime();
      sendAll(stage, o, requests);
      double seconds = (System.nanoTime() - start) / 1e9;
      running[0] = false;
      int caused = faults.join();
      // A run that began before its caller gave up may still be counted late.
      TimeUnit.SECONDS.sleep(1);
      for (int i = 0; i < requests; i++) {
        doubled.addAndGet(stage.site.runs().count("r" + i) > 1 ? 1 : 0);
      }
      return ResultLine.of("at-most-once", o)
          .with("sent", requests)
          .with("doubled", doubled.get())
          .with("told_not_run_but_ran", notRunButRan.get())
          .with("wrong_answer", wrong.get())
          .with("truncated", truncated.get())
          .with("unknown", unknown.get())
          .with("not_run", notRun.get())
          .with("served", served.get())
          .with("faults", caused)
          .with("seconds", seconds);
    }
  }

  private void sendAll(Stage stage, BenchOptions o, int requests) throws InterruptedException {
    var places = new Semaphore(CONCURRENT);
    var left = new CountDownLatch(requests);
    List<Service> services = o.deployment().services();
    for (int i = 0; i < requests; i++) {
      places.acquire();
      String id = "r" + i;
      String service = services.get(i % services.size()).name();
      var form =
          new LoadClient.Call(
              "", "POST", "/reserve", Map.of("Host", service, "X-Request-Id", id), BODY);
      stage.callers.send(
          i,
          service,
          form,
          r -> {
            judge(stage, id, r);
            places.release();
            left.countDown();
          });
    }
    left.await(60, TimeUnit.SECONDS);
  }

  private void judge(Stage stage, String id, CallResult r) {
    if (r.isOk()) {
      served.incrementAndGet();
      JsonNode n = Json.parse(r.body()).orElse(Json.newObject());
      truncated.addAndGet(n.isEmpty() ? 1 : 0);
      wrong.addAndGet(!n.isEmpty() && !n.path("request_id").asText().equals(id) ? 1 : 0);
      return;
    }
    if ("not-run".equals(r.headers().get("cactusstack-outcome"))) {
      notRun.incrementAndGet();
      notRunButRan.addAndGet(stage.site.runs().count(id));
    } else {
      unknown.incrementAndGet();
    }
  }

  /** Gives a random upstream a random fault at a time; kills two hosts on the way. */
  private static int cause(Stage stage, Random random, boolean[] running)
      throws InterruptedException {
    List<UpstreamStandIn> ups = stage.site.upstreams();
    int caused = 0;
    while (running[0]) {
      UpstreamStandIn u = ups.get(random.nextInt(ups.size()));
      u.become(fault(random.nextInt(6)));
      caused++;
      TimeUnit.MILLISECONDS.sleep(FAULT_MS);
      u.become(UpstreamCondition.HEALTHY);
      if (caused == 4 || caused == 9) {
        stage.embedded.hosts().get(caused % stage.embedded.hosts().size()).close();
      }
    }
    return caused;
  }

  private static UpstreamCondition fault(int kind) {
    UpstreamCondition well = UpstreamCondition.HEALTHY;
    return switch (kind) {
      case 0 -> well.slowedBy(200);
      case 1 -> new UpstreamCondition(1, true, false, false, false, false, false);
      case 2 -> new UpstreamCondition(1, false, true, false, false, false, false);
      case 3 -> new UpstreamCondition(1, false, false, false, true, false, false);
      case 4 -> new UpstreamCondition(1, false, false, false, false, true, false);
      default -> well.stalling();
    };
  }
}
