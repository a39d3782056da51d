package dev.cactusstack.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.link.generated.Ack;
import dev.cactusstack.link.generated.Datagram;
import dev.cactusstack.link.generated.Envelope;
import dev.cactusstack.link.generated.Ping;
import dev.cactusstack.link.generated.PingRequest;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.Result;
import java.util.Objects;
import java.util.Optional;

/**
 * Translates between messages and signed datagrams.
 *
 * <p>Invariant: {@link #decode} never throws; it returns nothing for a datagram that is malformed
 * or not signed by a known key. Thread-safe.
 */
public final class LinkCodec {
  private final KeyRing keys;

  /**
   * Creates a codec.
   *
   * @param keys signs and verifies
   */
  public LinkCodec(KeyRing keys) {
    this.keys = Objects.requireNonNull(keys, "keys is null");
  }

  /**
   * Encodes a message.
   *
   * @param m the message
   * @return the datagram's bytes
   */
  public byte[] encode(LinkMessage m) {
    Envelope.Builder e = Envelope.newBuilder().setSender(MemberCodec.encode(m.sender()));
    m.updates().forEach(u -> e.addUpdates(MemberCodec.encode(u)));
    encodeBody(e, m.body());
    byte[] envelope = e.build().toByteArray();
    return Datagram.newBuilder()
        .setKeyId(keys.signingKeyId())
        .setEnvelope(ByteString.copyFrom(envelope))
        .setTag(ByteString.copyFrom(keys.sign(envelope)))
        .build()
        .toByteArray();
  }

  private static void encodeBody(Envelope.Builder e, LinkBody body) {
    if (body instanceof LinkBody.FailureDetection d) {
      encodeProbe(e, d.message());
    } else if (body instanceof LinkBody.ChangesQuery q) {
      e.getChangesQueryBuilder().setAfterVersion(q.cursor().version()).setAfterKey(q.cursor().key());
    } else if (body instanceof LinkBody.ChangesPage p) {
      e.setChangesPage(TableCodec.encode(p));
    }
  }

  private static void encodeProbe(Envelope.Builder e, ProbeMessage probe) {
    if (probe instanceof ProbeMessage.Ping p) {
      e.setPing(Ping.newBuilder().setNumber(p.number()));
    } else if (probe instanceof ProbeMessage.Ack a) {
      e.setAck(Ack.newBuilder().setNumber(a.number()));
    } else if (probe instanceof ProbeMessage.PingRequest r) {
      e.setPingRequest(
          PingRequest.newBuilder().setNumber(r.number()).setTarget(r.target().toString()));
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param bytes the datagram's bytes
   * @return the message, or nothing when it is not acceptable
   */
  public Optional<LinkMessage> decode(byte[] bytes) {
    Objects.requireNonNull(bytes, "bytes is null");
    try {
      Datagram d = Datagram.parseFrom(bytes);
      byte[] envelope = d.getEnvelope().toByteArray();
      if (!keys.verify(d.getKeyId(), envelope, d.getTag().toByteArray())) {
        return Optional.empty();
      }
      return decodeMessage(Envelope.parseFrom(envelope));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static Optional<LinkMessage> decodeMessage(Envelope e) {
    Optional<Member> sender = MemberCodec.decode(e.getSender());
    Optional<LinkBody> body = decodeBody(e);
    if (sender.isEmpty() || body.isEmpty()) {
      return Optional.empty();
    }
    var updates =
        e.getUpdatesList().stream().map(MemberCodec::decode).flatMap(Optional::stream).toList();
    return Optional.of(new LinkMessage(sender.get(), updates, body.get()));
  }

  private static Optional<LinkBody> decodeBody(Envelope e) {
    return switch (e.getBodyCase()) {
      case PING -> failureDetection(new ProbeMessage.Ping(e.getPing().getNumber()));
      case ACK -> failureDetection(new ProbeMessage.Ack(e.getAck().getNumber()));
      case PING_REQUEST -> {
        Result<Address> target = Address.parse(e.getPingRequest().getTarget());
        yield target.fold(
            p -> Optional.empty(),
            a -> failureDetection(new ProbeMessage.PingRequest(e.getPingRequest().getNumber(), a)));
      }
      case CHANGES_QUERY ->
          Optional.of(
              new LinkBody.ChangesQuery(
                  new ChangeCursor(
                      e.getChangesQuery().getAfterVersion(), e.getChangesQuery().getAfterKey())));
      case CHANGES_PAGE -> Optional.of(TableCodec.decode(e.getChangesPage()));
      case BODY_NOT_SET -> Optional.empty();
    };
  }

  private static Optional<LinkBody> failureDetection(ProbeMessage p) {
    return Optional.of(new LinkBody.FailureDetection(p));
  }
}
