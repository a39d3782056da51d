package dev.cactusstack.embedded;

import static dev.cactusstack.embedded.TestCluster.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.embedded.TestCluster.CommandResult;
import dev.cactusstack.standin.PlatformFaults;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the operators' command against running hosts. */
class OperatorCommandTest {
  private static TestCluster cluster;

  @BeforeAll
  static void start() throws InterruptedException {
    cluster = new TestCluster(3);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @AfterEach
  void restore() {
    cluster.standIns.platform().setFaults(PlatformFaults.NONE);
    for (String d : cluster.standIns.deployment().dataCentres()) {
      assertThat(cluster.ctl(0, "data-centre", "in", d).code()).isZero();
    }
  }

  private static String version(CommandResult e) {
    return e.text().replaceAll("(?s).*version=(\\d+).*", "$1");
  }

  @Test
  void shouldReachEveryHostWhenAnEditIsAccepted() throws Exception {
    CommandResult set =
        cluster.ctl(0, "table", "set", "search", "almaty-1", "weight=33", "limit=11");
    assertThat(set.code()).isZero();
    assertThat(cluster.ctl(1, "table", "watch", "--once").code()).isZero();
    for (int i = 0; i < 3; i++) {
      int host = i;
      eventually(
          () ->
              cluster
                  .ctl(host, "table", "show", "--format", "csv")
                  .text()
                  .contains("search,almaty-1,33,11"));
    }
  }

  @Test
  void shouldShowBothValuesAndChangeNothingWhenEditsConflict() {
    String first = version(cluster.ctl(0, "table", "set", "booking", "almaty-2", "weight=21"));
    assertThat(
            cluster
                .ctl(0, "table", "set", "booking", "almaty-2", "weight=22", "--if-version", first)
                .code())
        .isZero();
    CommandResult conflicting =
        cluster.ctl(2, "table", "set", "booking", "almaty-2", "weight=23", "--if-version", first);
    assertThat(conflicting.code()).isEqualTo(3);
    assertThat(conflicting.text()).contains("weight=23").contains("weight=22");
  }

  @Test
  void shouldApplyAFileOnlyWhenItIsValid(@TempDir Path dir) throws Exception {
    String csv = cluster.ctl(0, "table", "show", "--format", "csv").text();
    String row = csv.lines().filter(l -> l.startsWith("scans,almaty-3")).findFirst().orElseThrow();
    String edited = row.replaceFirst("scans,almaty-3,\\d+", "scans,almaty-3,44");
    Path file = dir.resolve("table.csv");
    List<String> invalidFiles =
        List.of(
            csv.replace(row, row + "\n" + row),
            csv.replace(row + "\n", ""),
            csv.replace(row, edited.replace("44", "-4")),
            csv.replace(row, edited.replace("44", "many")),
            "not a table");
    for (String text : invalidFiles) {
      Files.writeString(file, text);
      CommandResult e = cluster.ctl(0, "table", "apply", file.toString());
      assertThat(e.code()).as(text).isEqualTo(2);
      assertThat(e.text()).contains("remedy=");
    }
    Files.writeString(file, csv.replace(row, edited));
    assertThat(cluster.ctl(0, "table", "apply", file.toString()).code()).isZero();
    eventually(
        () ->
            cluster
                .ctl(0, "table", "show", "--format", "csv")
                .text()
                .contains("scans,almaty-3,44"));
  }

  @Test
  void shouldAcceptAnEditOnceWhenTheTableServiceResponseIsLost() throws Exception {
    cluster.standIns.platform().setFaults(new PlatformFaults(false, 0, 1));
    CommandResult e = cluster.ctl(0, "table", "set", "scans", "almaty-1", "limit=7");
    assertThat(e.text()).contains("outcome=accepted");
    eventually(
        () ->
            cluster
                .ctl(0, "table", "show", "--format", "csv")
                .text()
                .contains("scans,almaty-1,20,7,"));
  }

  @Test
  void shouldNotReportAcceptedWhenTheTableServiceIsDown() {
    cluster.standIns.platform().setFaults(new PlatformFaults(true, 0, 0));
    CommandResult e = cluster.ctl(0, "table", "set", "scans", "almaty-2", "limit=6");
    assertThat(e.code()).isEqualTo(4);
    assertThat(e.text()).contains("remedy=");
  }

  @Test
  void shouldSendNoRequestsToADataCentreWhenItIsEvacuated() throws Exception {
    CommandResult out = cluster.ctl(0, "data-centre", "out", "almaty-2");
    assertThat(out.code()).isZero();
    CommandResult watch = cluster.ctl(0, "table", "watch", "--once");
    assertThat(watch.code()).isZero();
    assertThat(watch.text()).endsWith("version=" + version(out) + " in_force=3 hosts=3\n");
    long before = executedRequestsIn("almaty-2");
    for (int i = 0; i < 60; i++) {
      assertThat(cluster.call(i % 3, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(executedRequestsIn("almaty-2")).isEqualTo(before);
    assertThat(cluster.ctl(0, "data-centre", "out", "almaty-1").code()).isZero();
    CommandResult last = cluster.ctl(0, "data-centre", "out", "almaty-3");
    assertThat(last.code()).isEqualTo(2);
    assertThat(last.text()).contains("--force");
    assertThat(cluster.ctl(0, "data-centre", "in", "almaty-1").code()).isZero();
    assertThat(cluster.ctl(0, "data-centre", "in", "almaty-2").code()).isZero();
    assertThat(cluster.ctl(0, "data-centre", "out", "nowhere").code()).isEqualTo(2);
  }

  @Test
  void shouldFailNoRequestWhenADataCentreIsEvacuatedAndRestored() throws Exception {
    var running = new java.util.concurrent.atomic.AtomicBoolean(true);
    var failures = new java.util.concurrent.ConcurrentLinkedQueue<String>();
    var callers = new java.util.ArrayList<Thread>();
    for (int i = 0; i < 3; i++) {
      int host = i;
      var t = new Thread(() -> callUntil(running, host, failures));
      t.start();
      callers.add(t);
    }
    for (int i = 0; i < 4; i++) {
      assertThat(cluster.ctl(i % 3, "data-centre", "out", "almaty-3").code()).isZero();
      assertThat(cluster.ctl(i % 3, "table", "watch", "--once").code()).isZero();
      assertThat(cluster.ctl(i % 3, "data-centre", "in", "almaty-3").code()).isZero();
      assertThat(cluster.ctl(i % 3, "table", "watch", "--once").code()).isZero();
    }
    running.set(false);
    for (Thread t : callers) {
      t.join();
    }
    assertThat(failures).isEmpty();
  }

  private static void callUntil(
      java.util.concurrent.atomic.AtomicBoolean running,
      int host,
      java.util.Queue<String> failures) {
    while (running.get()) {
      try {
        String answer = cluster.call(host, "booking");
        if (!answer.startsWith("HTTP/1.1 200")) {
          failures.add(answer);
        }
      } catch (java.io.IOException e) {
        failures.add(e.toString());
      }
    }
  }

  private static long executedRequestsIn(String dataCentre) {
    return cluster.standIns.upstreams().stream()
        .filter(u -> u.spec().dataCentre().equals(dataCentre))
        .mapToLong(dev.cactusstack.standin.UpstreamStandIn::executedRequests)
        .sum();
  }

  @Test
  void shouldListHostsAndUpstreamsWhenStatusIsRequested() throws Exception {
    eventually(
        () ->
            cluster.ctl(0, "status").text().lines().filter(l -> l.startsWith("search")).count()
                == 10);
    assertThat(cluster.ctl(0, "status").text()).contains("almaty-3-host-1").contains("alive");
  }

  @Test
  void shouldExitWithInvalidInputWhenTheCommandIsInvalid() {
    assertThat(cluster.ctl(0, "table", "set", "search", "almaty-1").code()).isEqualTo(2);
    assertThat(cluster.ctl(0, "table", "set", "search", "almaty-1", "height=3").code())
        .isEqualTo(2);
    assertThat(cluster.ctl(0, "table", "set", "search", "almaty-9", "weight=3").code())
        .isEqualTo(2);
    assertThat(cluster.ctl(0, "dance").code()).isEqualTo(2);
    assertThat(cluster.ctl(0, "--format", "xml", "table", "show").code()).isEqualTo(2);
  }
}
