package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.decisions.placing.UpstreamNotices;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.LimitShares;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.scheduling.LocalSchedulers;
import dev.cactusstack.gateway.scheduling.NoticeReader;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.UpstreamProber;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** The parts of a host named "self" that place requests, in virtual time and without a network. */
final class PlacementFixture {
  final VirtualTimeLoop time = new VirtualTimeLoop();
  final FakeStore store = new FakeStore();
  final PeerTable peers = new PeerTable("self", 3_500, new Random(1));
  final List<SentMessage> sent = new ArrayList<>();
  final PlacementClient placement;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);

  final UpstreamNotices notices;

  PlacementFixture() {
    var noticeReader = new NoticeReader(time::nowMs, log, unusedHeaders());
    notices = noticeReader.notices();
    var upstreams =
        new UpstreamsController(
            time.loop(), time::nowMs, time::nowMs, log, store, Optional::empty, () -> false);
    var client =
        new HttpClient(
            time.loop(), new HttpClientSettings(100, 100, false, 1_000, 1_000), time::nowMs);
    var schedulers =
        new LocalSchedulers(
            time.loop(),
            time::nowMs,
            log,
            new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5),
            upstreams,
            new UpstreamProber(client, unusedHeaders(), noticeReader),
            new LimitShares(peers, PeerTable.hash("self"), () -> true),
            () -> peers.isStoreConfirmed(time.nowMs()),
            new Random(1),
            PeerTable.hash("self"));
    placement =
        new PlacementClient(
            time.loop(),
            time::nowMs,
            log,
            (message, destination) -> sent.add(new SentMessage(message, destination)),
            peers,
            schedulers,
            notices,
            "self",
            0);
  }

  private static UpstreamHeaders unusedHeaders() {
    return (UpstreamHeaders)
        Proxy.newProxyInstance(
            UpstreamHeaders.class.getClassLoader(),
            new Class<?>[] {UpstreamHeaders.class},
            (proxy, method, args) -> {
              throw new AssertionError("no message is expected in this test");
            });
  }

  /** Registers a host that is alive, with its link at an address. */
  void addHost(String name, Address address, int milliCores) {
    peers.recordStart(
        new HostRegistration(name, "dc", address, address, milliCores, 1), time.nowMs());
    peers.mergeHeartbeats(
        List.of(new HeartbeatState(PeerTable.hash(name), 1, 1, false, StoreContact.UNKNOWN, true)),
        time.nowMs());
  }

  /** Returns the messages of one type that were sent. */
  <T extends LinkMessage> List<T> sent(Class<T> type) {
    return sent.stream()
        .map(SentMessage::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  /** A message to another host. */
  record SentMessage(LinkMessage message, Address destination) {}

  String logText() {
    log.flush();
    return output.toString(StandardCharsets.UTF_8);
  }
}
