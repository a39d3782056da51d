package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.scheduling.LocalSchedulers;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.UpstreamProber;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a host that rejects requests of other hosts because it knows no upstreams, when it
 * starts during a store outage and has never read them.
 */
class PlacementDuringStoreOutageTest {
  private static final Address OTHER_HOST = new Address("127.0.0.1", 9);

  private final VirtualTimeLoop time = new VirtualTimeLoop();
  private final FakeStore store = new FakeStore();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private final PeerTable peers = new PeerTable("self", 3_500, new Random(1));
  private final UpstreamsController upstreams =
      new UpstreamsController(time.loop(), time::nowMs, time::nowMs, log, store, Optional::empty);
  private final LocalSchedulers schedulers =
      new LocalSchedulers(
          time.loop(),
          time::nowMs,
          log,
          new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5),
          upstreams,
          new UpstreamProber(TestClients.unused(time), unusedHeaders()),
          () -> peers.isStoreConfirmed(time.nowMs()),
          new Random(1));
  private final PlacementClient placement =
      new PlacementClient(
          time.loop(), time::nowMs, log, new Link(time.loop(), log), peers, schedulers, "self", 0);

  private static UpstreamHeaders unusedHeaders() {
    return (UpstreamHeaders)
        Proxy.newProxyInstance(
            UpstreamHeaders.class.getClassLoader(),
            new Class<?>[] {UpstreamHeaders.class},
            (proxy, method, args) -> {
              throw new AssertionError("no message is expected in this test");
            });
  }

  @Test
  void shouldNotRejectARequestOfAnotherHostWhenItHasNeverReadTheUpstreams() {
    var request =
        new PlacementRequest(
            new PlacementKey(7, 1), "dc", "r", 1, 300, 300, 1_000, 0, false, Set.of());
    placement.onMessage(new LinkMessage.RequestSubmitted("s", request), OTHER_HOST);
    store
        .upstreamReads
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    time.run(200);
    log.flush();
    assertThat(output.toString(StandardCharsets.UTF_8)).doesNotContain("outcome=turned-away");
  }
}
