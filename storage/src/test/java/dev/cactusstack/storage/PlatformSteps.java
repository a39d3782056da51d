package dev.cactusstack.storage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.Json;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.PlatformStandIn;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.xnio.XnioWorker;

/** Steps of the platform contract tests, run against the stand-in over loopback. */
public final class PlatformSteps {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");
  private static final Duration SHORT = Duration.ofMillis(400);
  private static final Duration LONG = Duration.ofSeconds(10);
  private static final long SLOW_MS = 1_200;

  private final PlatformStandIn standIn = PlatformStandIn.start(0);
  private final XnioWorker worker = XnioWorkers.createDaemonWorker("platform-test", 1);
  private HttpPlatformClient client = client(standIn.port(), LONG);
  private String report = "";
  private Map<Address, ListedHost> known = new TreeMap<>();
  private long knownRevision;

  private HttpPlatformClient client(int port, Duration timeout) {
    return new HttpPlatformClient(
        new HttpClient(worker, Optional.empty()), new Address("127.0.0.1", port), timeout);
  }

  /** Stops the stand-in. */
  @After
  public void stop() {
    standIn.close();
    worker.shutdown();
  }

  /** Writes the first row. */
  @Given("a table with row {string} of weight {int} at version 1")
  public void table(String key, int weight) {
    ArrayNode writes = Json.newObject().putArray("writes");
    writes
        .addObject()
        .put("key", "route/" + key)
        .putObject("value")
        .put("weight", weight)
        .put("limit", 40)
        .put("upstream_limit", 4);
    standIn.writeRows(writes);
  }

  /** Injects a fault. */
  @Given("^the platform is (healthy|not listening|down|losing answers|slow)$")
  public void fault(String fault) {
    if (!fault.equals("healthy")) {
      client = client(standIn.port(), SHORT);
    }
    switch (fault) {
      case "down" -> standIn.setFaults(new PlatformFaults(true, 0, 0));
      case "losing answers" -> standIn.setFaults(new PlatformFaults(false, 0, 1));
      case "slow" -> standIn.setFaults(new PlatformFaults(false, SLOW_MS, 0));
      case "not listening" -> client = client(1, SHORT);
      default -> standIn.setFaults(PlatformFaults.NONE);
    }
  }

  /** Commits an edit. */
  @When("weight {int} is committed expecting version {long}")
  public void commit(int weight, long expected) {
    var row = new Route(KEY, weight, 40, 4, expected, List.of("op"));
    report =
        client
            .commit(List.of(row), List.of())
            .handle((o, t) -> t == null ? name(o) : name(HttpException.fromThrowable(t)))
            .join();
  }

  private static String name(TableStore.CommitOutcome o) {
    return o instanceof TableStore.CommitOutcome.Committed ? "committed" : "a version mismatch";
  }

  private static String name(HttpException f) {
    return f.mayHaveBeenProcessed() ? "a failure, sent" : "a failure, not sent";
  }

  /** Checks the reported outcome. */
  @Then("^the client reports (.+)$")
  public void check(String expected) {
    assertThat(report).isEqualTo(expected);
  }

  /** Checks the stored weight after any slow write has completed. */
  @Then("once the platform is healthy the weight is {int}")
  public void weight(int weight) throws InterruptedException {
    if (report.contains("failure")) {
      Thread.sleep(2 * SLOW_MS);
    }
    standIn.setFaults(PlatformFaults.NONE);
    ConfigurationTable t = client(standIn.port(), Duration.ofSeconds(10)).readChanges(0).join();
    assertThat(t.route(KEY).orElseThrow().weight()).isEqualTo(weight);
  }

  /** Reads changes. */
  @Then("^a reader at version (\\d+) gets (\\d+) rows? at version (\\d+)$")
  public void changes(long after, int rows, long version) {
    ConfigurationTable t = client.readChanges(after).join();
    assertThat(t.routes()).hasSize(rows);
    assertThat(t.version()).isEqualTo(version);
  }

  /** Lists two hosts and reads them. */
  @Given("a host list with {string} and {string}")
  public void hosts(String a, String b) {
    for (String address : List.of(a, b)) {
      standIn.registerHost(
          address, Json.newObject().put("role", "entry").put("data_centre", "almaty-1"));
    }
    HostChanges all = client.readHostChanges(0).join();
    known = all.applyTo(known);
    knownRevision = all.revision();
    assertThat(known).hasSize(2);
  }

  /** Removes a host. */
  @When("{string} is removed")
  public void remove(String address) {
    standIn.deregisterHost(address);
  }

  /** Reads the whole list. */
  @Then("a client reading the list from the start has only {string}")
  public void fromStart(String address) {
    assertThat(client.readHostChanges(0).join().applyTo(new TreeMap<>()).keySet())
        .extracting(Address::toString)
        .containsExactly(address);
  }

  /** Reads the changes since the last read. */
  @Then("a client that had both now has only {string}")
  public void readOn(String address) {
    assertThat(client.readHostChanges(knownRevision).join().applyTo(known).keySet())
        .extracting(Address::toString)
        .containsExactly(address);
  }
}
