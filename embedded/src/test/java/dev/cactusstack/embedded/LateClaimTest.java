package dev.cactusstack.embedded;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.standin.PlatformFaults;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests that a key is free again when its claim was recorded after the caller's response. */
class LateClaimTest {
  /** Longer than the timeout of a request to the platform. */
  private static final long RESPONSE_DELAY_MS = 2_500;

  private static String reserve(TestCluster cluster, int host) throws IOException {
    return cluster.sendRaw(
        host,
        "POST /r HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: late-1\r\nX-Request-Id: late-1\r\n"
            + "Connection: close\r\nContent-Length: 2\r\n\r\n{}");
  }

  @Test
  void shouldRunARetryWhenTheClaimTookLongerThanItsTimeout() throws Exception {
    try (var cluster = new TestCluster(3)) {
      cluster.standIns.platform().setFaults(new PlatformFaults(false, RESPONSE_DELAY_MS, 0));
      assertThat(reserve(cluster, 0)).contains("Cactusstack-Outcome: not-run");
      cluster.standIns.platform().setFaults(PlatformFaults.NONE);
      TestCluster.eventually(() -> reserve(cluster, 1).startsWith("HTTP/1.1 200"));
      assertThat(cluster.standIns.executionCounter().count("late-1")).isEqualTo(1);
    }
  }
}
