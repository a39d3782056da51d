package dev.cactusstack.gateway.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.Workspace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/** Encodes and decodes a configuration for messages between hosts. Stateless and thread-safe. */
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
    writeAccess(out, siteConfiguration.access());
    out.writeUInt32NoTag(siteConfiguration.rollouts().size());
    for (RolloutOrder order : siteConfiguration.rollouts().values()) {
      writeRollout(out, order);
    }
    out.writeUInt64NoTag(snapshot.rulesEra());
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
    CallerAccess access = readAccess(in);
    Map<String, RolloutOrder> rollouts = new HashMap<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      RolloutOrder order = readRollout(in);
      rollouts.put(order.service(), order);
    }
    return new ConfigurationSnapshot(
        new SiteConfiguration(
            revision, version, routes, services, limits, evacuated, access, rollouts),
        changedAt,
        in.readUInt64());
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
    out.writeBoolNoTag(route.isPublic());
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
        name,
        host,
        prefix,
        kind,
        timeoutMs,
        objectiveMs,
        priority,
        maxAttempts,
        targets,
        in.readBool());
  }

  private static void writeAccess(CodedOutputStream out, CallerAccess access) throws IOException {
    out.writeBoolNoTag(access.requiresApiKey());
    out.writeUInt32NoTag(access.workspaces().size());
    for (Workspace workspace : access.workspaces().values()) {
      writeWorkspace(out, workspace);
    }
  }

  private static CallerAccess readAccess(CodedInputStream in) throws IOException {
    boolean requiresApiKey = in.readBool();
    Map<String, Workspace> workspaces = new HashMap<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      Workspace workspace = readWorkspace(in);
      workspaces.put(workspace.name(), workspace);
    }
    return new CallerAccess(requiresApiKey, workspaces);
  }

  private static void writeWorkspace(CodedOutputStream out, Workspace workspace)
      throws IOException {
    out.writeStringNoTag(workspace.name());
    out.writeUInt32NoTag(workspace.keys().size());
    for (ApiKeyDigest key : workspace.keys()) {
      out.writeFixed64NoTag(key.high());
      out.writeFixed64NoTag(key.low());
    }
    out.writeBoolNoTag(workspace.priority().isPresent());
    if (workspace.priority().isPresent()) {
      out.writeSInt32NoTag(workspace.priority().getAsInt());
    }
    out.writeDoubleNoTag(workspace.requestsPerSecond());
    out.writeDoubleNoTag(workspace.burst());
  }

  private static Workspace readWorkspace(CodedInputStream in) throws IOException {
    String name = in.readString();
    Set<ApiKeyDigest> keys = new HashSet<>();
    for (int n = LinkCodec.readCount(in); n > 0; n--) {
      keys.add(new ApiKeyDigest(in.readFixed64(), in.readFixed64()));
    }
    OptionalInt priority = in.readBool() ? OptionalInt.of(in.readSInt32()) : OptionalInt.empty();
    return new Workspace(name, keys, priority, in.readDouble(), in.readDouble());
  }

  private static void writeRollout(CodedOutputStream out, RolloutOrder order) throws IOException {
    out.writeStringNoTag(order.service());
    out.writeStringNoTag(order.version());
    out.writeUInt64NoTag(order.durationMs());
    out.writeUInt64NoTag(order.revision());
  }

  private static RolloutOrder readRollout(CodedInputStream in) throws IOException {
    return new RolloutOrder(in.readString(), in.readString(), in.readUInt64(), in.readUInt64());
  }

  private static void writeService(CodedOutputStream out, ServiceSettings settings)
      throws IOException {
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
