package dev.cactusstack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.standin.ExecutionCounter;
import dev.cactusstack.standin.PlatformStandIn;
import dev.cactusstack.standin.UpstreamSpec;
import dev.cactusstack.standin.UpstreamStandIn;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import joptsimple.OptionSet;
import org.xnio.XnioWorker;

/** Runs a single stand-in until the process is stopped. Stateless. */
final class StandInCommands {
  private StandInCommands() {}

  /**
   * Runs a platform stand-in; its hosts file is JSON: {@code {"hosts": {ADDRESS: ENTRY}, "writes":
   * [{"key", "value"}]}}.
   */
  static void platform(OptionSet o) throws Exception {
    PlatformStandIn p = PlatformStandIn.start((Integer) o.valueOf("port"));
    if (o.has("hosts")) {
      byte[] bytes = Files.readAllBytes(Path.of((String) o.valueOf("hosts")));
      JsonNode n =
          Json.parse(bytes)
              .orElseThrow(() -> new IllegalArgumentException("the hosts file is not JSON"));
      n.path("hosts")
          .fields()
          .forEachRemaining(e -> p.registerHost(e.getKey(), (ObjectNode) e.getValue()));
      if (n.path("writes").isArray()) {
        p.writeRows((ArrayNode) n.path("writes"));
      }
    }
    System.out.println("event=ready platform=127.0.0.1:" + p.port());
    Thread.currentThread().join();
  }

  static void upstream(OptionSet o) throws Exception {
    XnioWorker worker = XnioWorkers.createDaemonWorker("upstream", 1);
    var spec =
        new UpstreamSpec(
            (String) o.valueOf("service"),
            (String) o.valueOf("data-centre"),
            (Integer) o.valueOf("slots"),
            (Double) o.valueOf("service-ms"),
            0.3,
            1,
            20);
    var random = new Random((Long) o.valueOf("seed"));
    UpstreamStandIn u =
        UpstreamStandIn.start(
            spec,
            (Integer) o.valueOf("port"),
            worker,
            new ExecutionCounter(),
            random,
            o.has("cold"));
    System.out.println("event=ready upstream=" + u.address() + " service=" + spec.service());
    Thread.currentThread().join();
  }
}
