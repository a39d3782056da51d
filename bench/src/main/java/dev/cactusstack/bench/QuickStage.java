package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.PickPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.Site;
import dev.cactusstack.standin.UpstreamTraits;
import java.util.Map;

/** A deployment whose upstreams answer within about two milliseconds, for many requests. */
final class QuickStage implements AutoCloseable {
  private static final long READY_MS = 30_000;
  private static final long CALL_TIMEOUT_MS = 15_000;
  private static final double SERVICE_MS = 2;

  final Site site;
  final EmbeddedHosts embedded;
  final LoadClient client;
  final EntryPolicy callers;

  QuickStage(BenchOptions o, String settings) throws InterruptedException {
    site =
        Site.startWith(
            o.deployment(),
            t ->
                new UpstreamTraits(
                    t.service(),
                    t.dataCentre(),
                    t.slots(),
                    SERVICE_MS,
                    t.spread(),
                    t.coldBears(),
                    t.warmUpRuns()),
            o.seed());
    embedded =
        EmbeddedHosts.start(
            site,
            o.deployment().entryHosts(),
            0,
            0,
            PickPolicy.EXPECTED_ANSWER,
            Map.of(),
            settings);
    client = new LoadClient(2, CALL_TIMEOUT_MS);
    if (!embedded.awaitReady(READY_MS)) {
      throw new IllegalStateException("the entry hosts are not ready");
    }
    callers =
        new EntryPolicy(
            client, embedded.hosts().stream().map(h -> h.callersAddress().toString()).toList());
  }

  @Override
  public void close() {
    client.close();
    embedded.close();
    site.close();
  }
}
