package dev.cactusstack.decisions.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ConfigurationReadersTest {
  private static final ConfigurationReaders POLICY = new ConfigurationReaders(3);

  private static List<HostRegistration> hosts(String dataCentre, int count) {
    var a = new Address("127.0.0.1", 80);
    List<HostRegistration> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(new HostRegistration(dataCentre + i, dataCentre, a, a, 600, 1));
    }
    return result;
  }

  private static List<HostRegistration> readers(List<HostRegistration> candidates) {
    return candidates.stream().filter(e -> POLICY.isReader(e, candidates)).toList();
  }

  @Test
  void shouldChooseTheConfiguredNumberInEachDataCentreWhenThereAreMore() {
    List<HostRegistration> all = hosts("a", 20);
    all.addAll(hosts("b", 4));
    assertThat(readers(all).stream().filter(e -> e.dataCentre().equals("a"))).hasSize(3);
    assertThat(readers(all).stream().filter(e -> e.dataCentre().equals("b"))).hasSize(3);
  }

  @Test
  void shouldReturnTheHostsThatConsiderThemselvesReaders() {
    List<HostRegistration> all = hosts("a", 20);
    all.addAll(hosts("b", 4));
    all.addAll(hosts("c", 2));
    assertThat(POLICY.readers(all)).containsExactlyInAnyOrderElementsOf(readers(all));
  }

  @Test
  void shouldChooseAllWhenThereAreFew() {
    List<HostRegistration> all = hosts("a", 3);
    assertThat(readers(all)).isEqualTo(all);
  }

  @Test
  void shouldReplaceAReaderWhenItIsNoLongerACandidate() {
    List<HostRegistration> all = hosts("a", 20);
    List<HostRegistration> before = readers(all);
    all.remove(before.get(0));
    assertThat(readers(all)).hasSize(3).containsAll(before.subList(1, 3));
  }

  @Test
  void shouldRemainAReaderWhenItCannotReachTheStore() {
    List<HostRegistration> all = hosts("a", 20);
    HostRegistration reader = readers(all).get(0);
    all.remove(reader);
    assertThat(POLICY.isReader(reader, all)).isTrue();
  }

  @Test
  void shouldChooseTheHighestRankedOfEachDataCentreWhenTheSetOfHostsChanges() {
    var random = new Random(5);
    List<HostRegistration> all = hosts("a", 12);
    all.addAll(hosts("b", 5));
    all.addAll(hosts("c", 2));
    for (int i = 0; i < 200; i++) {
      List<HostRegistration> candidates =
          all.stream().filter(host -> random.nextInt(4) > 0).toList();
      for (HostRegistration host : all) {
        Set<String> names = new TreeSet<>(Set.of(host.name()));
        candidates.stream()
            .filter(candidate -> candidate.dataCentre().equals(host.dataCentre()))
            .forEach(candidate -> names.add(candidate.name()));
        assertThat(POLICY.isReader(host, candidates))
            .isEqualTo(RendezvousHash.ranked("configuration", names, 3).contains(host.name()));
      }
    }
  }
}
