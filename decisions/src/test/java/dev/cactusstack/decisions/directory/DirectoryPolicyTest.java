package dev.cactusstack.decisions.directory;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DirectoryPolicyTest {
  private final DirectoryPolicy policy = new DirectoryPolicy(2, 64);

  private static List<HostRegistration> hosts(String dataCentre, int count) {
    List<HostRegistration> out = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      var a = new Address("127.0.0.1", i);
      out.add(new HostRegistration(dataCentre + i, dataCentre, a, a, 600, 1));
    }
    return out;
  }

  @Test
  void shouldNameOnlyNearHostsWhenEnoughAreNear() {
    List<HostRegistration> all = new ArrayList<>(hosts("a", 3));
    all.addAll(hosts("b", 5));
    assertThat(policy.choose(all, "a", new SplittableRandom(1)))
        .hasSize(3)
        .allMatch(e -> e.dataCentre().equals("a"));
  }

  @Test
  void shouldMakeUpWithFarHostsWhenTooFewAreNear() {
    List<HostRegistration> all = new ArrayList<>(hosts("a", 1));
    all.addAll(hosts("b", 5));
    assertThat(policy.choose(all, "a", new SplittableRandom(1))).hasSize(2);
    assertThat(policy.choose(all, "c", new SplittableRandom(1))).hasSize(2);
  }

  @Test
  void shouldNameAtMostTheAllowedNumberWhenManyAreNear() {
    assertThat(policy.choose(hosts("a", 100), "a", new SplittableRandom(1))).hasSize(64);
  }
}
