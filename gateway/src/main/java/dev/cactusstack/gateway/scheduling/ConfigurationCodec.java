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

  static void write(CodedOutputStream out, ConfigurationSnapshot snapshot) throws IOException {
    SiteConfiguration siteConfiguration = snapshot.configuration();
    out.writeUInt64NoTag(snapshot.lastChangeRevision());
    out.writeUInt64NoTag(siteConfiguration.revision());
    out.writeUInt64NoTag(siteConfiguration.version());
    out.writeUInt32NoTag(siteConfiguration.routes().size());
    for (RouteRule route : siteConfiguration.routes()) {
      writeRoute(out, route);
    }
    out.writeUInt32NoTag(siteConfiguration.services().size());
    for (ServiceSettings settings : siteConfiguration.services().values()) {
      writeService(out, settings);
    }
    out.writeUInt32NoTag(siteConfiguration.limits().maxHeaderBytes());
    out.writeUInt64NoTag(siteConfiguration.limits().maxBodyBytes());
    out.writeUInt64NoTag(siteConfiguration.limits().headerTimeoutMs());
    out.writeUInt64NoTag(siteConfiguration.limits().idleTimeoutMs());
    out.writeUInt32NoTag(siteConfiguration.evacuated().size());
    for (String dataCentre : siteConfiguration.evacuated()) {
      out.writeStringNoTag(dataCentre);
    }
  }

  static ConfigurationSnapshot read(CodedInputStream in) throws IOException {
    long changedAt = in.readUInt64();
    long revision = in.readUInt64();
    long version = in.readUInt64();
    List<RouteRule> routes = new ArrayList<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      routes.add(readRoute(in));
    }
    Map<String, ServiceSettings> services = new HashMap<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      ServiceSettings settings = readService(in);
      services.put(settings.name(), settings);
    }
    var limits =
        new CallerLimits(in.readUInt32(), in.readUInt64(), in.readUInt64(), in.readUInt64());
    Set<String> evacuated = new HashSet<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      evacuated.add(in.readString());
    }
    return new ConfigurationSnapshot(
        new SiteConfiguration(revision, version, routes, services, limits, evacuated), changedAt);
  }

  private static void writeRoute(CodedOutputStream out, RouteRule route) throws IOException {
    out.writeStringNoTag(route.name());
    out.writeStringNoTag(route.host());
    out.writeStringNoTag(route.prefix());
    out.writeUInt32NoTag(route.kind().ordinal());
    out.writeUInt64NoTag(route.timeoutMs());
    out.writeUInt64NoTag(route.latencyObjectiveMs());
    out.writeUInt32NoTag(route.priority());
    out.writeUInt32NoTag(route.maxAttempts());
    out.writeUInt32NoTag(route.weightedServices().size());
    for (RouteRule.WeightedService weighted : route.weightedServices()) {
      out.writeStringNoTag(weighted.service());
      out.writeDoubleNoTag(weighted.weight());
    }
  }

  private static RouteRule readRoute(CodedInputStream in) throws IOException {
    String name = in.readString();
    String host = in.readString();
    String prefix = in.readString();
    RequestKind kind = RequestKind.values()[LinkCodec.readCount(in)];
    long timeoutMs = in.readUInt64();
    long objectiveMs = in.readUInt64();
    int priority = in.readUInt32();
    int maxAttempts = in.readUInt32();
    List<RouteRule.WeightedService> targets = new ArrayList<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      targets.add(new RouteRule.WeightedService(in.readString(), in.readDouble()));
    }
    return new RouteRule(
        name, host, prefix, kind, timeoutMs, objectiveMs, priority, maxAttempts, targets);
  }

  private static void writeService(CodedOutputStream out, ServiceSettings settings) throws IOException {
    out.writeStringNoTag(settings.name());
    out.writeStringNoTag(settings.healthPath());
    out.writeUInt32NoTag(settings.maxConnections());
    out.writeUInt64NoTag(settings.warmupMs());
    out.writeDoubleNoTag(settings.warmupRequestsPerSecond());
  }

  private static ServiceSettings readService(CodedInputStream in) throws IOException {
    return new ServiceSettings(
        in.readString(), in.readString(), in.readUInt32(), in.readUInt64(), in.readDouble());
  }
}
