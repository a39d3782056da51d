package dev.cactusstack.embedded;

import static dev.cactusstack.embedded.TestCluster.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that a host that may still serve callers is not left out of the versions in force. */
class LaggingHostTest {
  @Test
  void shouldCountAHostWhenItIsConsideredDeadButStillListed() throws Exception {
    try (var cluster = new TestCluster(3)) {
      cluster.host(2).close();
      assertThat(cluster.ctl(0, "table", "set", "search", "almaty-1", "weight=34").code()).isZero();
      eventually(() -> cluster.ctl(0, "status").text().contains("  dead  "));
      assertThat(cluster.ctl(0, "status").text())
          .contains("in_force=2 hosts=3 lagging=almaty-3-host-1");
      String link = cluster.host(2).settings().link().address().toString();
      cluster.standIns.platform().deregisterHost(link);
      eventually(
          () -> cluster.ctl(0, "table", "watch", "--once").text().contains("in_force=2 hosts=2"));
    }
  }
}
