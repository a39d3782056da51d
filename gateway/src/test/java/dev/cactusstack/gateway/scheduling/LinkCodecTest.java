package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import dev.cactusstack.model.site.Workspace;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LinkCodecTest {
  private static final Address ADDRESS = new Address("10.0.0.1", 7_200);
  private static final PlacementKey KEY = new PlacementKey(-5, 1L << 40);

  private static final List<LinkMessage> MESSAGES =
      List.of(
          new LinkMessage.Gossip(
              77,
              List.of(new HostRegistration("h", "dc", ADDRESS, ADDRESS, 600, 3)),
              List.of(
                  new HeartbeatState(-1, 9, 4, true, StoreContact.FAILING, true, 3_450),
                  new HeartbeatState(2, 1, 1, false, StoreContact.CONFIRMED, false))),
          new LinkMessage.Gossip(
              StoreRevision.of(5, 77),
              List.of(
                  new HostRegistration("h", "dc", ADDRESS, ADDRESS, 600, StoreRevision.of(5, 3))),
              List.of(
                  new HeartbeatState(
                      -1, StoreRevision.of(4, 9), 4, true, StoreContact.FAILING, true, 3_450))),
          new LinkMessage.RequestSubmitted(
              "s",
              new PlacementRequest(KEY, "dc", "r", 2, 300, 250, 900, 60_000, true, Set.of("u"))),
          new LinkMessage.DecisionMade(
              new PlacementDecision.Placed(
                  KEY, new UpstreamRegistration("u", "s", ADDRESS, "dc", 4, false, 0, 5, 0)),
              700),
          new LinkMessage.DecisionMade(placed(new RequestLimit(1.5, 900, 40)), 700),
          new LinkMessage.DecisionMade(
              placed(new RequestLimit(RequestLimit.UNLIMITED, 900, 900)), 0),
          new LinkMessage.DecisionMade(
              new PlacementDecision.Placed(
                  KEY,
                  new UpstreamRegistration("u", "s", ADDRESS, "dc", 4, false, 0, 5, 0),
                  Optional.empty(),
                  117),
              700),
          new LinkMessage.DecisionMade(new PlacementDecision.Rejected(KEY, 40), 1_600),
          new LinkMessage.DecisionMade(new PlacementDecision.Queued(KEY), 0),
          new LinkMessage.AttemptsEnded(
              "s",
              List.of(
                  new AttemptReport(
                      KEY,
                      "u",
                      AttemptOutcome.ANSWERED,
                      90,
                      Optional.of(new ReportedLoad(1, 2, 4, 700))),
                  new AttemptReport(
                      KEY,
                      "u",
                      AttemptOutcome.UNUSED,
                      0,
                      Optional.empty(),
                      new UpstreamNotice(true, 20_000)),
                  new AttemptReport(
                      KEY,
                      "u",
                      AttemptOutcome.FAILED,
                      20,
                      Optional.empty(),
                      new UpstreamNotice(false, 0, Optional.of(new RequestLimit(0, 30, 10)))))),
          new LinkMessage.RequestCancelled("s", KEY),
          new LinkMessage.RequestDeclined(KEY),
          new LinkMessage.ConfigurationQuery(77),
          new LinkMessage.LimitsKnown(
              "s",
              List.of(
                  new UpstreamLimit("u", 5, new RequestLimit(0.5, 3_000, 2_900)),
                  new UpstreamLimit("v", 6, new RequestLimit(RequestLimit.UNLIMITED, 1, 0)))),
          new LinkMessage.LimitsKnown("s", List.of()),
          new LinkMessage.QuotaRequested("w", KEY),
          new LinkMessage.QuotaDecided(KEY, QuotaDecision.GRANTED),
          new LinkMessage.QuotaDecided(KEY, QuotaDecision.UNDECIDED),
          new LinkMessage.QuotaDecided(KEY, QuotaDecision.refused(1_234)),
          new LinkMessage.QuotaReturned("w", KEY),
          accessUpdate(CallerAccess.byApiKey(Map.of())),
          accessUpdate(
              CallerAccess.byApiKey(
                  Map.of(
                      "w",
                      new Workspace(
                          "w", Set.of(ApiKeyDigest.of("k")), OptionalInt.of(2), 2.5, 10)))),
          new LinkMessage.ConfigurationUpdate(
              new ConfigurationSnapshot(
                  new SiteConfiguration(
                      80,
                      7,
                      List.of(
                          new RouteRule(
                              "r",
                              "h.example",
                              "/a/",
                              RequestKind.UPLOAD,
                              800,
                              300,
                              1,
                              2,
                              List.of(new RouteRule.WeightedService("s", 3.5)))),
                      Map.of("s", new ServiceSettings("s", "/health", 260, 3_000, 6.6)),
                      CallerLimits.DEFAULT,
                      Set.of("dc")),
                  79,
                  2)));

  private static LinkMessage accessUpdate(CallerAccess access) {
    var configuration =
        new SiteConfiguration(
            81, 8, List.of(), Map.of(), CallerLimits.DEFAULT, Set.of(), access, Map.of());
    return new LinkMessage.ConfigurationUpdate(new ConfigurationSnapshot(configuration, 81, 2));
  }

  private static PlacementDecision placed(RequestLimit limit) {
    var upstream = new UpstreamRegistration("u", "s", ADDRESS, "dc", 4, false, 0, 5, 0);
    return new PlacementDecision.Placed(KEY, upstream, Optional.of(limit));
  }

  @Test
  void shouldReturnTheSameMessageWhenItIsEncodedAndDecoded() throws IOException {
    for (LinkMessage message : MESSAGES) {
      assertThat(LinkCodec.decode(LinkCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against an age that shrinks a little each time a heartbeat is passed on. */
  @Test
  void shouldRoundUpTheAgeOfAHeartbeat() throws IOException {
    var state = new HeartbeatState(2, 1, 1, false, StoreContact.CONFIRMED, false, 1_701);
    var gossip = new LinkMessage.Gossip(77, List.of(), List.of(state));
    var decoded = (LinkMessage.Gossip) LinkCodec.decode(LinkCodec.encode(gossip));
    assertThat(decoded.heartbeats()).containsExactly(state.withAge(1_750));
  }

  @Test
  void shouldThrowOnlyIoExceptionWhenBytesAreTruncatedOrChanged() {
    var random = new SplittableRandom(3);
    for (LinkMessage message : MESSAGES) {
      byte[] encoded = LinkCodec.encode(message);
      for (int i = 0; i < 500; i++) {
        byte[] bytes = Arrays.copyOf(encoded, random.nextInt(encoded.length + 1));
        if (bytes.length > 0) {
          bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        try {
          LinkCodec.decode(bytes);
        } catch (IOException expected) {
          assertThat(expected).isNotNull();
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "-1, 20, 10",
    "NaN, 20, 10",
    "-Infinity, 20, 10",
    "1.5, 10, 20",
    "1.5, 20, -10",
    "1.5, 9223372036854775807, 10"
  })
  void shouldRejectAMessageWhenItsLimitIsInvalid(double rate, long sentAgeMs, long receivedAgeMs)
      throws IOException {
    var bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.write(LinkCodec.encode(new LinkMessage.LimitsKnown("s", List.of())), 0, 2);
    out.writeStringNoTag("s");
    out.writeUInt32NoTag(1);
    out.writeStringNoTag("u");
    out.writeUInt64NoTag(5);
    out.writeDoubleNoTag(rate);
    out.writeUInt64NoTag(sentAgeMs);
    out.writeUInt64NoTag(receivedAgeMs);
    out.flush();
    assertThatThrownBy(() -> LinkCodec.decode(bytes.toByteArray())).isInstanceOf(IOException.class);
  }

  @Test
  void shouldRejectAMessageWhenItsVersionDiffers() {
    byte[] bytes = LinkCodec.encode(new LinkMessage.ConfigurationQuery(77));
    bytes[0]++;
    assertThatThrownBy(() -> LinkCodec.decode(bytes)).isInstanceOf(IOException.class);
  }
}
