package dev.cactusstack.gateway.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Encodes and decodes messages between hosts with protobuf's basic types, in a fixed order without
 * tags. This works because all hosts of a site run the same version; messages of another version
 * are rejected by the version byte. Stateless and thread-safe.
 */
public final class LinkCodec {
  private static final int FORMAT_VERSION = 9;
  private static final int MAX_ITEMS = 1_000;

  /** Unit of the age of a heartbeat; usual values take one byte. */
  private static final long AGE_UNIT_MS = 50;

  private static final long MAX_AGE_UNITS = 1_000;

  private LinkCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the encoded message
   */
  public static byte[] encode(LinkMessage message) {
    var bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    try {
      out.writeUInt32NoTag(FORMAT_VERSION);
      write(out, message);
      out.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @param bytes the encoded message
   * @return the message
   * @throws IOException if the bytes are not a valid message of this version
   */
  public static LinkMessage decode(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    if (in.readUInt32() != FORMAT_VERSION) {
      throw new IOException("unsupported message version");
    }
    try {
      return Type.values()[readCount(in)].read(in);
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
      throw new IOException("malformed message", e);
    }
  }

  private static void write(CodedOutputStream out, LinkMessage message) throws IOException {
    if (message instanceof LinkMessage.Gossip gossip) {
      out.writeUInt32NoTag(Type.GOSSIP.ordinal());
      writeGossip(out, gossip);
    } else if (message instanceof LinkMessage.RequestSubmitted submitted) {
      out.writeUInt32NoTag(Type.REQUEST_SUBMITTED.ordinal());
      out.writeStringNoTag(submitted.service());
      writeRequest(out, submitted.request());
    } else if (message instanceof LinkMessage.DecisionMade decided) {
      out.writeUInt32NoTag(Type.DECISION_MADE.ordinal());
      writeDecision(out, decided.decision());
      out.writeUInt64NoTag(decided.registrationsAgeMs());
    } else if (message instanceof LinkMessage.AttemptsEnded ended) {
      out.writeUInt32NoTag(Type.ATTEMPTS_ENDED.ordinal());
      writeAttempts(out, ended);
    } else if (message instanceof LinkMessage.RequestCancelled w) {
      out.writeUInt32NoTag(Type.REQUEST_CANCELLED.ordinal());
      out.writeStringNoTag(w.service());
      writeKey(out, w.key());
    } else if (message instanceof LinkMessage.RequestDeclined declined) {
      out.writeUInt32NoTag(Type.REQUEST_DECLINED.ordinal());
      writeKey(out, declined.key());
    } else if (message instanceof LinkMessage.ConfigurationUpdate update) {
      out.writeUInt32NoTag(Type.CONFIGURATION_UPDATE.ordinal());
      ConfigurationCodec.write(out, update.snapshot());
    } else if (message instanceof LinkMessage.ConfigurationQuery w) {
      out.writeUInt32NoTag(Type.CONFIGURATION_QUERY.ordinal());
      out.writeUInt64NoTag(w.knownRevision());
    } else if (message instanceof LinkMessage.LimitsKnown known) {
      out.writeUInt32NoTag(Type.LIMITS_KNOWN.ordinal());
      LimitCodec.write(out, known);
    } else if (message instanceof LinkMessage.QuotaRequested requested) {
      out.writeUInt32NoTag(Type.QUOTA_REQUESTED.ordinal());
      QuotaCodec.write(out, requested);
    } else if (message instanceof LinkMessage.QuotaDecided decided) {
      out.writeUInt32NoTag(Type.QUOTA_DECIDED.ordinal());
      QuotaCodec.write(out, decided);
    } else if (message instanceof LinkMessage.QuotaReturned returned) {
      out.writeUInt32NoTag(Type.QUOTA_RETURNED.ordinal());
      QuotaCodec.write(out, returned);
    }
  }

  /** The message types, each with its decoder. Encoded by ordinal. */
  private enum Type {
    GOSSIP {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return readGossip(in);
      }
    },
    REQUEST_SUBMITTED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.RequestSubmitted(in.readString(), readRequest(in));
      }
    },
    DECISION_MADE {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.DecisionMade(readDecision(in), in.readUInt64());
      }
    },
    ATTEMPTS_ENDED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return readAttempts(in);
      }
    },
    REQUEST_CANCELLED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.RequestCancelled(in.readString(), readKey(in));
      }
    },
    REQUEST_DECLINED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.RequestDeclined(readKey(in));
      }
    },
    CONFIGURATION_UPDATE {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.ConfigurationUpdate(ConfigurationCodec.read(in));
      }
    },
    CONFIGURATION_QUERY {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return new LinkMessage.ConfigurationQuery(in.readUInt64());
      }
    },
    LIMITS_KNOWN {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return LimitCodec.read(in);
      }
    },
    QUOTA_REQUESTED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return QuotaCodec.readRequested(in);
      }
    },
    QUOTA_DECIDED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return QuotaCodec.readDecided(in);
      }
    },
    QUOTA_RETURNED {
      @Override
      LinkMessage read(CodedInputStream in) throws IOException {
        return QuotaCodec.readReturned(in);
      }
    };

    abstract LinkMessage read(CodedInputStream in) throws IOException;
  }

  private static void writeGossip(CodedOutputStream out, LinkMessage.Gossip gossip)
      throws IOException {
    writeRevision(out, gossip.configurationRevision());
    out.writeUInt32NoTag(gossip.startedHosts().size());
    for (HostRegistration host : gossip.startedHosts()) {
      out.writeStringNoTag(host.name());
      out.writeStringNoTag(host.dataCentre());
      writeAddress(out, host.callerAddress());
      writeAddress(out, host.linkAddress());
      out.writeUInt32NoTag(host.milliCores());
      writeRevision(out, host.incarnation());
    }
    out.writeUInt32NoTag(gossip.heartbeats().size());
    for (HeartbeatState heartbeat : gossip.heartbeats()) {
      out.writeFixed32NoTag(heartbeat.hostHash());
      writeRevision(out, heartbeat.incarnation());
      out.writeUInt64NoTag(heartbeat.counter());
      out.writeBoolNoTag(heartbeat.leaving());
      out.writeUInt32NoTag(heartbeat.storeContact().ordinal());
      out.writeBoolNoTag(heartbeat.knowsUpstreams());
      out.writeUInt64NoTag(toAgeUnits(heartbeat.ageMs()));
    }
  }

  private static LinkMessage readGossip(CodedInputStream in) throws IOException {
    long revision = readRevision(in);
    List<HostRegistration> startedHosts = new ArrayList<>();
    for (int n = readCount(in); n > 0; n--) {
      startedHosts.add(
          new HostRegistration(
              in.readString(),
              in.readString(),
              readAddress(in),
              readAddress(in),
              in.readUInt32(),
              readRevision(in)));
    }
    List<HeartbeatState> heartbeats = new ArrayList<>();
    for (int n = readCount(in); n > 0; n--) {
      heartbeats.add(
          new HeartbeatState(
              in.readFixed32(),
              readRevision(in),
              in.readUInt64(),
              in.readBool(),
              StoreContact.values()[readCount(in)],
              in.readBool(),
              readCount(in) * AGE_UNIT_MS));
    }
    return new LinkMessage.Gossip(revision, startedHosts, heartbeats);
  }

  /** Writes era and revision one after the other, which takes fewer bytes than their pair. */
  private static void writeRevision(CodedOutputStream out, long pair) throws IOException {
    out.writeUInt64NoTag(StoreRevision.eraOf(pair));
    out.writeUInt64NoTag(StoreRevision.revisionOf(pair));
  }

  private static long readRevision(CodedInputStream in) throws IOException {
    long era = in.readUInt64();
    long revision = in.readUInt64();
    if (!StoreRevision.isPair(era, revision)) {
      throw new IOException("invalid era " + era + " or revision " + revision);
    }
    return StoreRevision.of(era, revision);
  }

  /** Rounds up, so that the age does not shrink when a heartbeat is passed on many times. */
  private static long toAgeUnits(long ageMs) {
    long units = (ageMs + AGE_UNIT_MS - 1) / AGE_UNIT_MS;
    return Math.min(MAX_AGE_UNITS, Math.max(0, units));
  }

  private static void writeRequest(CodedOutputStream out, PlacementRequest placementRequest)
      throws IOException {
    writeKey(out, placementRequest.key());
    out.writeStringNoTag(placementRequest.dataCentre());
    out.writeStringNoTag(placementRequest.route());
    out.writeUInt32NoTag(placementRequest.priority());
    out.writeUInt64NoTag(placementRequest.latencyObjectiveMs());
    out.writeUInt64NoTag(placementRequest.objectiveRemainingMs());
    out.writeUInt64NoTag(placementRequest.deadlineRemainingMs());
    out.writeUInt32NoTag(placementRequest.transferBytes());
    out.writeBoolNoTag(placementRequest.hedge());
    out.writeUInt32NoTag(placementRequest.excludedUpstreams().size());
    for (String excludedId : placementRequest.excludedUpstreams()) {
      out.writeStringNoTag(excludedId);
    }
    out.writeStringNoTag(placementRequest.workspace());
  }

  private static PlacementRequest readRequest(CodedInputStream in) throws IOException {
    PlacementKey key = readKey(in);
    String dataCentre = in.readString();
    String route = in.readString();
    int priority = in.readUInt32();
    long objectiveMs = in.readUInt64();
    long objectiveLeftMs = in.readUInt64();
    long deadlineLeftMs = in.readUInt64();
    int transferSize = in.readUInt32();
    boolean isHedge = in.readBool();
    Set<String> excludedIds = new HashSet<>();
    for (int n = readCount(in); n > 0; n--) {
      excludedIds.add(in.readString());
    }
    return new PlacementRequest(
        key,
        dataCentre,
        route,
        priority,
        objectiveMs,
        objectiveLeftMs,
        deadlineLeftMs,
        transferSize,
        isHedge,
        excludedIds,
        in.readString());
  }

  private static void writeDecision(CodedOutputStream out, PlacementDecision placementDecision)
      throws IOException {
    writeKey(out, placementDecision.key());
    if (placementDecision instanceof PlacementDecision.Placed placed) {
      out.writeUInt32NoTag(1);
      writeUpstream(out, placed.upstream());
      LimitCodec.writeOptional(out, placed.limit());
      out.writeUInt64NoTag(placed.expectedMs());
    } else if (placementDecision instanceof PlacementDecision.Rejected rejected) {
      out.writeUInt32NoTag(2);
      out.writeUInt64NoTag(rejected.retryAfterMs());
    } else {
      out.writeUInt32NoTag(0);
    }
  }

  private static PlacementDecision readDecision(CodedInputStream in) throws IOException {
    PlacementKey key = readKey(in);
    return switch (in.readUInt32()) {
      case 1 ->
          new PlacementDecision.Placed(
              key, readUpstream(in), LimitCodec.readOptional(in), in.readUInt64());
      case 2 -> new PlacementDecision.Rejected(key, in.readUInt64());
      default -> new PlacementDecision.Queued(key);
    };
  }

  private static void writeUpstream(CodedOutputStream out, UpstreamRegistration u)
      throws IOException {
    out.writeStringNoTag(u.id());
    out.writeStringNoTag(u.service());
    writeAddress(out, u.address());
    out.writeStringNoTag(u.dataCentre());
    out.writeUInt32NoTag(u.slots());
    out.writeUInt64NoTag(u.startedAtMs());
    out.writeStringNoTag(u.version());
  }

  private static UpstreamRegistration readUpstream(CodedInputStream in) throws IOException {
    return new UpstreamRegistration(
        in.readString(),
        in.readString(),
        readAddress(in),
        in.readString(),
        in.readUInt32(),
        false,
        0,
        in.readUInt64(),
        0,
        in.readString());
  }

  private static void writeAttempts(CodedOutputStream out, LinkMessage.AttemptsEnded ended)
      throws IOException {
    out.writeStringNoTag(ended.service());
    out.writeUInt32NoTag(ended.reports().size());
    for (AttemptReport report : ended.reports()) {
      writeKey(out, report.key());
      out.writeStringNoTag(report.upstreamId());
      out.writeUInt32NoTag(report.outcome().ordinal());
      out.writeUInt64NoTag(report.durationMs());
      out.writeBoolNoTag(report.notice().leaving());
      out.writeUInt64NoTag(report.notice().holdOffMs());
      LimitCodec.writeOptional(out, report.notice().limit());
      out.writeBoolNoTag(report.load().isPresent());
      if (report.load().isPresent()) {
        ReportedLoad reportedLoad = report.load().get();
        out.writeUInt32NoTag(reportedLoad.running());
        out.writeUInt32NoTag(reportedLoad.waiting());
        out.writeUInt32NoTag(reportedLoad.slots());
        out.writeUInt32NoTag(reportedLoad.slowdownPercent());
      }
    }
  }

  private static LinkMessage readAttempts(CodedInputStream in) throws IOException {
    String service = in.readString();
    List<AttemptReport> reports = new ArrayList<>();
    for (int n = readCount(in); n > 0; n--) {
      PlacementKey key = readKey(in);
      String attemptedId = in.readString();
      AttemptOutcome attemptOutcome = AttemptOutcome.values()[readCount(in)];
      long tookMs = in.readUInt64();
      var notice = new UpstreamNotice(in.readBool(), in.readUInt64(), LimitCodec.readOptional(in));
      Optional<ReportedLoad> load =
          in.readBool()
              ? Optional.of(
                  new ReportedLoad(
                      in.readUInt32(), in.readUInt32(), in.readUInt32(), in.readUInt32()))
              : Optional.empty();
      reports.add(new AttemptReport(key, attemptedId, attemptOutcome, tookMs, load, notice));
    }
    return new LinkMessage.AttemptsEnded(service, reports);
  }

  static void writeKey(CodedOutputStream out, PlacementKey k) throws IOException {
    out.writeFixed32NoTag(k.hostHash());
    out.writeUInt64NoTag(k.sequenceNumber());
  }

  static PlacementKey readKey(CodedInputStream in) throws IOException {
    return new PlacementKey(in.readFixed32(), in.readUInt64());
  }

  private static void writeAddress(CodedOutputStream out, Address a) throws IOException {
    out.writeStringNoTag(a.ip());
    out.writeUInt32NoTag(a.port());
  }

  private static Address readAddress(CodedInputStream in) throws IOException {
    return new Address(in.readString(), in.readUInt32());
  }

  static int readCount(CodedInputStream in) throws IOException {
    int n = in.readUInt32();
    if (n < 0 || n > MAX_ITEMS) {
      throw new IOException("item count is negative or exceeds the limit");
    }
    return n;
  }
}
