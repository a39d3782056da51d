package dev.cactusstack.gateway.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes limits of upstreams for {@link LinkCodec}. Stateless and thread-safe. */
final class LimitCodec {
  /** Longest age of a limit; keeps later sums of ages in range. */
  private static final long MAX_LIMIT_AGE_MS = 86_400_000;

  private LimitCodec() {}

  static void write(CodedOutputStream out, LinkMessage.LimitsKnown known) throws IOException {
    out.writeStringNoTag(known.service());
    out.writeUInt32NoTag(known.limits().size());
    for (UpstreamLimit limit : known.limits()) {
      out.writeStringNoTag(limit.upstreamId());
      out.writeUInt64NoTag(limit.startedAtMs());
      writeLimit(out, limit.limit());
    }
  }

  static LinkMessage read(CodedInputStream in) throws IOException {
    String service = in.readString();
    List<UpstreamLimit> limits = new ArrayList<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      limits.add(new UpstreamLimit(in.readString(), in.readUInt64(), readLimit(in)));
    }
    return new LinkMessage.LimitsKnown(service, limits);
  }

  static void writeOptional(CodedOutputStream out, Optional<RequestLimit> limit)
      throws IOException {
    out.writeBoolNoTag(limit.isPresent());
    if (limit.isPresent()) {
      writeLimit(out, limit.get());
    }
  }

  static Optional<RequestLimit> readOptional(CodedInputStream in) throws IOException {
    return in.readBool() ? Optional.of(readLimit(in)) : Optional.empty();
  }

  private static void writeLimit(CodedOutputStream out, RequestLimit limit) throws IOException {
    out.writeDoubleNoTag(limit.requestsPerSecond());
    out.writeUInt64NoTag(Math.min(MAX_LIMIT_AGE_MS, limit.sentAgeMs()));
    out.writeUInt64NoTag(Math.min(MAX_LIMIT_AGE_MS, limit.receivedAgeMs()));
  }

  private static RequestLimit readLimit(CodedInputStream in) throws IOException {
    var limit = new RequestLimit(in.readDouble(), in.readUInt64(), in.readUInt64());
    if (limit.sentAgeMs() > MAX_LIMIT_AGE_MS) {
      throw new IOException("age of a limit exceeds the maximum");
    }
    return limit;
  }
}
