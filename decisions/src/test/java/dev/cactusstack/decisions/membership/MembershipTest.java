package dev.cactusstack.decisions.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests membership under host and network faults, in virtual time. */
class MembershipTest {
  private static final int SIZE = 16;

  @Test
  void shouldSeeAllHostsAliveWhenTheyStartTogether() {
    var g = new SimulatedGroup(SIZE, 0, 2, 1);
    g.run(3_000);
    assertThat(g.allAlive()).isTrue();
  }

  @Property(tries = 20, seed = "21")
  void shouldDetectACrashWithinThreeSecondsOnMostHostsWhenAHostFails(
      @ForAll @IntRange(max = 10_000) int seed) {
    var g = new SimulatedGroup(SIZE, 0, 5, seed);
    g.run(4_000);
    g.pause(3);
    g.run(3_000);
    long suspectOrDead =
        IntStream.range(0, SIZE)
            .filter(i -> i != 3 && g.statusSeen(i, 3) != MemberStatus.ALIVE)
            .count();
    assertThat(suspectOrDead).isGreaterThanOrEqualTo(SIZE - 2);
    g.run(4_000);
    assertThat(IntStream.range(0, SIZE).filter(i -> i != 3).mapToObj(i -> g.statusSeen(i, 3)))
        .allMatch(s -> s == MemberStatus.DEAD);
  }

  @Property(tries = 5, seed = "22")
  void shouldRemoveNobodyWhenMessagesAreLostAndDelayed(@ForAll @IntRange(max = 10_000) int seed) {
    var g = new SimulatedGroup(SIZE, 0.01, 50, seed);
    g.run(4_000);
    for (int i = 0; i < 600; i++) {
      g.run(200);
      for (int by = 0; by < SIZE; by++) {
        for (int of = 0; of < SIZE; of++) {
          assertThat(g.statusSeen(by, of)).isNotEqualTo(MemberStatus.DEAD);
        }
      }
    }
  }

  @Property(tries = 10, seed = "23")
  void shouldReadmitAHostWhenItResumesAfterBeingDeclaredDead(
      @ForAll @IntRange(max = 10_000) int seed) {
    var g = new SimulatedGroup(8, 0, 5, seed);
    g.run(4_000);
    g.pause(2);
    g.run(9_000);
    g.resume(2);
    g.run(9_000);
    assertThat(g.allAlive()).isTrue();
    assertThat(g.host(2).self().incarnation()).isGreaterThan(1);
  }

  @Property(tries = 10, seed = "24")
  void shouldReplaceAHostWhenItRestartsAtTheSameAddress(@ForAll @IntRange(max = 10_000) int seed) {
    var g = new SimulatedGroup(8, 0, 5, seed);
    g.run(4_000);
    g.restart(2, 1_000);
    g.run(5_000);
    assertThat(g.allAlive()).isTrue();
    assertThat(g.host(5).members().get(SimulatedGroup.id(2)).incarnation()).isEqualTo(1_000);
  }

  @Test
  void shouldNotSendMoreMessagesPerHostWhenTheGroupGrows() {
    long small = messagesPerHost(8);
    long large = messagesPerHost(64);
    assertThat(large).isLessThanOrEqualTo(small * 2);
  }

  private static long messagesPerHost(int size) {
    var g = new SimulatedGroup(size, 0, 5, 3);
    g.run(20_000);
    long before = g.sentMessages();
    g.run(20_000);
    return (g.sentMessages() - before) / size;
  }

  @Test
  void shouldDisseminateAVersionToAllHostsWhenOneAnnouncesIt() {
    var g = new SimulatedGroup(SIZE, 0, 5, 4);
    g.run(4_000);
    g.host(0).updateSelf(g.host(0).self().info().withConfigVersion(9));
    g.run(4_000);
    assertThat(IntStream.range(0, SIZE).mapToLong(i -> versionSeen(g, i))).allMatch(v -> v == 9);
  }

  private static long versionSeen(SimulatedGroup g, int by) {
    Member m = g.host(by).members().get(SimulatedGroup.id(0));
    return m == null ? 0 : m.info().configVersion();
  }

  @Test
  void shouldDisseminateVersionsButNotRatesWhenAnotherMemberAnnouncesThem() {
    var g = new SimulatedGroup(2, 0, 1, 5);
    g.run(10_000);
    Membership m = g.host(0);
    Member other = m.members().get(SimulatedGroup.id(1));
    MemberInfo rates = other.info().withRates(List.of());
    assertThat(updatesAfter(m, other.with(rates))).isEmpty();
    assertThat(updatesAfter(m, other.with(rates.withConfigVersion(9)))).hasSize(1);
  }

  private static List<Member> updatesAfter(Membership m, Member claim) {
    return m.receive(claim.info().link(), new ProbeMessage.Ping(1), claim, List.of(), 20_000)
        .get(0)
        .updates();
  }
}
