package dev.cactusstack.gateway.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes a configuration in a message between hosts. Stateless and thread-safe. */
final class ConfigurationCodec {
  private ConfigurationCodec() {}

  static void write(CodedOutputStream out, ConfigurationSnapshot known) throws IOException {
    SiteConfiguration c = known.configuration();
    out.writeUInt64NoTag(known.lastChangeRevision());
    out.writeUInt64NoTag(c.revision());
    out.writeUInt64NoTag(c.version());
    out.writeUInt32NoTag(c.routes().size());
    for (RouteRule r : c.routes()) {
      writeRoute(out, r);
    }
    out.writeUInt32NoTag(c.services().size());
    for (ServiceSettings s : c.services().values()) {
      writeService(out, s);
    }
    out.writeUInt32NoTag(c.limits().maxHeaderBytes());
    out.writeUInt64NoTag(c.limits().maxBodyBytes());
    out.writeUInt64NoTag(c.limits().headerTimeoutMs());
    out.writeUInt64NoTag(c.limits().idleTimeoutMs());
    out.writeUInt32NoTag(c.evacuated().size());
    for (String dataCentre : c.evacuated()) {
      out.writeStringNoTag(dataCentre);
    }
  }

  static ConfigurationSnapshot read(CodedInputStream in) throws IOException {
    long changedAt = in.readUInt64();
    long revision = in.readUInt64();
    long version = in.readUInt64();
    List<RouteRule> routes = new ArrayList<>();
    for (int n = LinkCodec.count(in); n > 0; n--) {
      routes.add(readRoute(in));
    }
    Map<String, ServiceSettings> services = new HashMap<>();
    for (int n = LinkCodec.count(in); n > 0; n--) {
      ServiceSettings s = readService(in);
      services.put(s.name(), s);
    }
    var limits =
        new CallerLimits(in.readUInt32(), in.readUInt64(), in.readUInt64(), in.readUInt64());
    Set<String> evacuated = new HashSet<>();
    for (int n = LinkCodec.count(in); n > 0; n--) {
      evacuated.add(in.readString());
    }
    return new ConfigurationSnapshot(
        new SiteConfiguration(revision, version, routes, services, limits, evacuated), changedAt);
  }

  private static void writeRoute(CodedOutputStream out, RouteRule r) throws IOException {
    out.writeStringNoTag(r.name());
    out.writeStringNoTag(r.host());
    out.writeStringNoTag(r.prefix());
    out.writeUInt32NoTag(r.kind().ordinal());
    out.writeUInt64NoTag(r.timeoutMs());
    out.writeUInt64NoTag(r.latencyObjectiveMs());
    out.writeUInt32NoTag(r.priority());
    out.writeUInt32NoTag(r.maxAttempts());
    out.writeUInt32NoTag(r.weightedServices().size());
    for (RouteRule.WeightedService p : r.weightedServices()) {
      out.writeStringNoTag(p.service());
      out.writeDoubleNoTag(p.weight());
    }
  }

  private static RouteRule readRoute(CodedInputStream in) throws IOException {
    String name = in.readString();
    String host = in.readString();
    String prefix = in.readString();
    RequestKind kind = RequestKind.values()[LinkCodec.count(in)];
    long timeoutMs = in.readUInt64();
    long objectiveMs = in.readUInt64();
    int priority = in.readUInt32();
    int maxAttempts = in.readUInt32();
    List<RouteRule.WeightedService> parts = new ArrayList<>();
    for (int n = LinkCodec.count(in); n > 0; n--) {
      parts.add(new RouteRule.WeightedService(in.readString(), in.readDouble()));
    }
    return new RouteRule(
        name, host, prefix, kind, timeoutMs, objectiveMs, priority, maxAttempts, parts);
  }

  private static void writeService(CodedOutputStream out, ServiceSettings s) throws IOException {
    out.writeStringNoTag(s.name());
    out.writeStringNoTag(s.healthPath());
    out.writeUInt32NoTag(s.maxConnections());
    out.writeUInt64NoTag(s.warmupMs());
    out.writeDoubleNoTag(s.warmupRequestsPerSecond());
  }

  private static ServiceSettings readService(CodedInputStream in) throws IOException {
    return new ServiceSettings(
        in.readString(), in.readString(), in.readUInt32(), in.readUInt64(), in.readDouble());
  }
}
