package dev.cactusstack.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.Address;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a host that rejects requests of other hosts because it knows no upstreams, when it
 * starts during a store outage and has never read them.
 */
class PlacementDuringStoreOutageTest {
  private static final Address OTHER_HOST = new Address("127.0.0.1", 9);

  private final PlacementFixture host = new PlacementFixture();

  @Test
  void shouldNotRejectARequestOfAnotherHostWhenItHasNeverReadTheUpstreams() {
    var request =
        new PlacementRequest(
            new PlacementKey(7, 1), "dc", "r", 1, 300, 300, 1_000, 0, false, Set.of());
    host.placement.onMessage(new LinkMessage.RequestSubmitted("s", request), OTHER_HOST);
    host.store
        .upstreamReads
        .get(0)
        .completeExceptionally(FakeStore.failure(StoreException.Kind.UNKNOWN));
    host.time.run(200);
    assertThat(host.logText()).doesNotContain("outcome=turned-away");
  }
}
