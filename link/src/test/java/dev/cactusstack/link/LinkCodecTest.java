package dev.cactusstack.link;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LinkCodecTest {
  private static final LinkKey OLD_KEY = new LinkKey(1, "old-secret-old-secret".getBytes());
  private static final LinkKey NEW_KEY = new LinkKey(2, "new-secret-new-secret".getBytes());
  private static final Address ADDRESS = new Address("10.0.0.1", 7946);
  private static final DataCentre DATA_CENTRE = new DataCentre("almaty-1");

  private static Member member() {
    var rates = List.of(new ServiceRate(new ServiceName("search"), 12.5f));
    var info = new MemberInfo(3, DATA_CENTRE, ADDRESS, ADDRESS, ADDRESS, 7, true, rates);
    return new Member(new HostId("a-1"), 99, MemberStatus.SUSPECT, info);
  }

  private static ConfigurationTable table() {
    var routes = new TreeMap<RouteKey, Route>();
    for (int i = 0; i < 25; i++) {
      RouteKey k = RouteKey.of("service-" + i, "almaty-1");
      routes.put(k, new Route(k, i, 40, 4, 1 + i % 5, List.of("op")));
    }
    var dataCentres = new TreeMap<DataCentre, DataCentreRow>();
    dataCentres.put(DATA_CENTRE, new DataCentreRow(DATA_CENTRE, true, 5, List.of("x")));
    return new ConfigurationTable(5, routes, dataCentres);
  }

  static List<LinkBody> bodies() {
    return List.of(
        new LinkBody.FailureDetection(new ProbeMessage.Ping(7)),
        new LinkBody.FailureDetection(new ProbeMessage.Ack(-7)),
        new LinkBody.FailureDetection(new ProbeMessage.PingRequest(8, ADDRESS)),
        new LinkBody.ChangesQuery(new ChangeCursor(4, "route/a/b")),
        new LinkBody.ChangesPage(table(), true));
  }

  @ParameterizedTest
  @MethodSource("bodies")
  void shouldReturnAnEqualMessageWhenEncodedAndDecoded(LinkBody body) {
    var codec = new LinkCodec(new KeyRing(List.of(OLD_KEY)));
    var m = new LinkMessage(member(), List.of(member()), body);
    assertThat(codec.decode(codec.encode(m))).contains(m);
  }

  @Test
  void shouldAcceptBothKeysWhenKeysAreBeingRotated() {
    var before = new LinkCodec(new KeyRing(List.of(OLD_KEY)));
    var during = new LinkCodec(new KeyRing(List.of(OLD_KEY, NEW_KEY)));
    var after = new LinkCodec(new KeyRing(List.of(NEW_KEY, OLD_KEY)));
    var done = new LinkCodec(new KeyRing(List.of(NEW_KEY)));
    var m = new LinkMessage(member(), List.of(), bodies().get(0));
    assertThat(during.decode(before.encode(m))).contains(m);
    assertThat(during.decode(after.encode(m))).contains(m);
    assertThat(after.decode(during.encode(m))).contains(m);
    assertThat(done.decode(before.encode(m))).isEmpty();
  }

  @Test
  void shouldRejectOrIgnoreAnyChangeWhenOneByteIsChanged() {
    var codec = new LinkCodec(new KeyRing(List.of(OLD_KEY)));
    byte[] good = codec.encode(new LinkMessage(member(), List.of(), bodies().get(4)));
    var random = new Random(31);
    for (int i = 0; i < 5_000; i++) {
      byte[] bad = good.clone();
      int at = random.nextInt(bad.length);
      bad[at] ^= (byte) (1 + random.nextInt(255));
      // A change may only survive where protobuf ignores it; the content then is the same.
      codec.decode(bad).ifPresent(m -> assertThat(m).isEqualTo(codec.decode(good).orElseThrow()));
    }
  }

  @Test
  void shouldNeverThrowWhenBytesAreRandomOrSignedButMalformed() {
    var ring = new KeyRing(List.of(OLD_KEY));
    var codec = new LinkCodec(ring);
    var random = new Random(32);
    byte[] good = codec.encode(new LinkMessage(member(), List.of(member()), bodies().get(4)));
    for (int i = 0; i < 20_000; i++) {
      byte[] b = new byte[random.nextInt(600)];
      random.nextBytes(b);
      codec.decode(b);
      byte[] envelope = java.util.Arrays.copyOfRange(good, 4, 4 + random.nextInt(good.length - 4));
      if (envelope.length > 0) {
        envelope[random.nextInt(envelope.length)] = (byte) random.nextInt();
      }
      codec.decode(signed(ring, envelope));
    }
  }

  private static byte[] signed(KeyRing ring, byte[] envelope) {
    return dev.cactusstack.link.generated.Datagram.newBuilder()
        .setKeyId(ring.signingKeyId())
        .setEnvelope(com.google.protobuf.ByteString.copyFrom(envelope))
        .setTag(com.google.protobuf.ByteString.copyFrom(ring.sign(envelope)))
        .build()
        .toByteArray();
  }

  @Test
  void shouldReadTheWholeTableWhenPagesAreFollowed() {
    ConfigurationTable source = table();
    ConfigurationTable read = ConfigurationTable.EMPTY;
    var at = new ChangeCursor(0, "");
    boolean more = true;
    while (more) {
      LinkBody.ChangesPage page = at.readPage(source, 4);
      read = read.merge(page.rows());
      at = ChangeCursor.ofLastRow(page.rows());
      more = page.hasMore();
    }
    assertThat(read).isEqualTo(source);
  }

  @Test
  void shouldFitIntoADatagramWhenRowsRecordTheMaximumOfOperations() {
    var operations =
        java.util.stream.IntStream.range(0, Route.MAX_RECORDED_OPERATIONS)
            .mapToObj(i -> "00000000-0000-0000-0000-00000000000" + i)
            .toList();
    var routes = new TreeMap<RouteKey, Route>();
    for (int i = 0; i < 3; i++) {
      RouteKey k = RouteKey.of("a-service-with-a-long-name-" + i, "a-data-centre-" + i);
      routes.put(k, new Route(k, 1_000, 1_000_000, 10_000, Long.MAX_VALUE, operations));
    }
    var body =
        new LinkBody.ChangesPage(
            new ConfigurationTable(Long.MAX_VALUE, routes, new TreeMap<>()), true);
    var codec = new LinkCodec(new KeyRing(List.of(OLD_KEY)));
    byte[] bytes = codec.encode(new LinkMessage(member(), List.of(), body));
    assertThat(bytes.length).isLessThan(LinkTransport.MAX_DATAGRAM_BYTES);
  }
}
