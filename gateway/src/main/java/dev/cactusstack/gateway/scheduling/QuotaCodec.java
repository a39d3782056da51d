package dev.cactusstack.gateway.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import java.io.IOException;

/** Encodes and decodes messages on quotas for {@link LinkCodec}. Stateless and thread-safe. */
final class QuotaCodec {
  private QuotaCodec() {}

  static void write(CodedOutputStream out, LinkMessage.QuotaRequested requested)
      throws IOException {
    out.writeStringNoTag(requested.workspace());
    LinkCodec.writeKey(out, requested.key());
  }

  static void write(CodedOutputStream out, LinkMessage.QuotaDecided decided) throws IOException {
    LinkCodec.writeKey(out, decided.key());
    out.writeUInt32NoTag(decided.decision().outcome().ordinal());
    out.writeUInt64NoTag(decided.decision().retryAfterMs());
  }

  static void write(CodedOutputStream out, LinkMessage.QuotaReturned returned) throws IOException {
    out.writeStringNoTag(returned.workspace());
    LinkCodec.writeKey(out, returned.key());
  }

  static LinkMessage readRequested(CodedInputStream in) throws IOException {
    return new LinkMessage.QuotaRequested(in.readString(), LinkCodec.readKey(in));
  }

  static LinkMessage readDecided(CodedInputStream in) throws IOException {
    return new LinkMessage.QuotaDecided(
        LinkCodec.readKey(in),
        new QuotaDecision(
            QuotaDecision.Outcome.values()[LinkCodec.readCount(in)], in.readUInt64()));
  }

  static LinkMessage readReturned(CodedInputStream in) throws IOException {
    return new LinkMessage.QuotaReturned(in.readString(), LinkCodec.readKey(in));
  }
}
