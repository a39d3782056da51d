package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command and the settings template of the deploy file. */
final class Host {
  private static final List<Host> ALL = new ArrayList<>();

  final String name;
  private final String ip;
  private final Map<String, Integer> ports = new TreeMap<>();
  private final Path root;
  private final Path settings;
  private final File log;
  private Process process;

  Host(Path root, Path folder, String name, String zone, String storeAddress) throws IOException {
    this.root = root;
    this.name = name;
    this.log = folder.resolve(name + ".log").toFile();
    this.settings = folder.resolve(name + ".json");
    this.ip = freeIp();
    List<ServerSocket> held = new ArrayList<>();
    for (String port : List.of("frontend", "readiness", "directory", "link")) {
      var s = new ServerSocket(0, 1, InetAddress.getByName(ip));
      held.add(s);
      ports.put(port, s.getLocalPort());
    }
    for (ServerSocket s : held) {
      s.close();
    }
    Map<String, String> values = new TreeMap<>();
    values.put("nodeName|json", Json.quote(name));
    values.put("zone|json", Json.quote(zone));
    values.put("listenAddrs.frontend|json", Json.quote(address("frontend")));
    values.put("listenAddrs.readiness|json", Json.quote(address("readiness")));
    values.put("listenAddrs.directory|json", Json.quote(address("directory")));
    values.put("internalPortRange|json", "[" + ports.get("link") + "," + (ports.get("link") + 1) + "]");
    values.put("platform.address|json", Json.quote(storeAddress));
    values.put("limits.cpuFraction|json", "0.6");
    values.put("limits.cpuCores|json", "1");
    values.put("contractParams|json", Site.BOUNDS);
    String text = Files.readString(root.resolve("deploy/host.json"));
    for (Map.Entry<String, String> v : values.entrySet()) {
      text = text.replace("{{" + v.getKey() + "}}", v.getValue());
    }
    Files.writeString(settings, text);
    ALL.add(this);
  }

  /** An address of the loopback range at which the fixed port of the metrics is free. */
  private static String freeIp() throws IOException {
    for (int i = 0; i < 100; i++) {
      int n = (int) (Math.random() * 60_000) + 300;
      String ip = "127.66." + n / 256 + "." + (n % 250 + 1);
      try (var s = new ServerSocket(9_464, 1, InetAddress.getByName(ip))) {
        return ip;
      } catch (IOException e) {
        // In use; the next address may be free.
      }
    }
    throw new IOException("no loopback address with a free port 9464");
  }

  String ip() {
    return ip;
  }

  int port(String name) {
    return ports.get(name);
  }

  String address(String port) {
    return ip + ":" + ports.get(port);
  }

  /** Starts the process with the words of "run" in deploy/system.toml. */
  void start() throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    List<String> words =
        new ArrayList<>(Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
    words.set(0, Path.of(System.getProperty("java.home"), "bin", words.get(0)).toString());
    var builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CACTUSSTACK_NODE_FILE", settings.toString());
    process = builder.start();
    Record.say("host %s started as process %d", name, process.pid());
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  void signal(String signal) throws IOException, InterruptedException {
    Record.say("host %s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean awaitReady(double seconds) throws InterruptedException {
    double end = Record.now() + seconds;
    while (Record.now() < end) {
      try (var c = new Client(ip, port("readiness"))) {
        c.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        if (c.read(1_000).status() == 200) {
          Record.say("host %s is ready", name);
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  String logText() throws IOException {
    return Files.readString(log.toPath(), java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(Host::killAll));
  }

  private static void killAll() {
    for (Host h : ALL) {
      if (h.process != null) {
        h.process.destroyForcibly();
      }
    }
  }

  /** Ends all processes that were started. */
  static void endAll() throws InterruptedException {
    killAll();
    for (Host h : ALL) {
      if (h.process != null) {
        h.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
  }
}
