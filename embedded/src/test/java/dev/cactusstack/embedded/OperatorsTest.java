package dev.cactusstack.embedded;

import static dev.cactusstack.embedded.TestSite.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.embedded.TestSite.Ended;
import dev.cactusstack.standin.PlatformFaults;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' command against running hosts. */
class OperatorsTest {
  private static TestSite test;

  @BeforeAll
  static void start() throws InterruptedException {
    test = new TestSite(3);
  }

  @AfterAll
  static void stop() {
    test.close();
  }

  @AfterEach
  void heal() {
    test.site.platform().setFaults(PlatformFaults.NONE);
  }

  private static String version(Ended e) {
    return e.text().replaceAll("(?s).*version=(\\d+).*", "$1");
  }

  @Test
  void shouldBeSeenByEveryHostWhenAnEditIsAccepted() throws Exception {
    Ended set = test.ctl(0, "table", "set", "search", "almaty-1", "weight=33", "limit=11");
    assertThat(set.code()).isZero();
    assertThat(test.ctl(1, "table", "watch", "--once").code()).isZero();
    for (int i = 0; i < 3; i++) {
      int host = i;
      eventually(
          () ->
              test.ctl(host, "table", "show", "--format", "csv")
                  .text()
                  .contains("search,almaty-1,33,11"));
    }
  }

  @Test
  void shouldShowBothSidesAndChangeNothingWhenAnotherEditWasFirst() {
    String first = version(test.ctl(0, "table", "set", "booking", "almaty-2", "weight=21"));
    assertThat(
            test.ctl(0, "table", "set", "booking", "almaty-2", "weight=22", "--if-version", first)
                .code())
        .isZero();
    Ended late =
        test.ctl(2, "table", "set", "booking", "almaty-2", "weight=23", "--if-version", first);
    assertThat(late.code()).isEqualTo(3);
    assertThat(late.text()).contains("weight=23").contains("weight=22");
  }

  @Test
  void shouldApplyAnEditedFileAndRefuseABadOne(@TempDir Path dir) throws Exception {
    String csv = test.ctl(0, "table", "show", "--format", "csv").text();
    String row = csv.lines().filter(l -> l.startsWith("scans,almaty-3")).findFirst().orElseThrow();
    String edited = row.replaceFirst("scans,almaty-3,\\d+", "scans,almaty-3,44");
    Path file = dir.resolve("table.csv");
    List<String> bad =
        List.of(
            csv.replace(row, row + "\n" + row),
            csv.replace(row + "\n", ""),
            csv.replace(row, edited.replace("44", "-4")),
            csv.replace(row, edited.replace("44", "many")),
            "not a table");
    for (String text : bad) {
      Files.writeString(file, text);
      Ended e = test.ctl(0, "table", "apply", file.toString());
      assertThat(e.code()).as(text).isEqualTo(2);
      assertThat(e.text()).contains("remedy=");
    }
    Files.writeString(file, csv.replace(row, edited));
    assertThat(test.ctl(0, "table", "apply", file.toString()).code()).isZero();
    eventually(
        () -> test.ctl(0, "table", "show", "--format", "csv").text().contains("scans,almaty-3,44"));
  }

  @Test
  void shouldBeAcceptedOnceWhenTheAnswerOfTheTableIsLost() throws Exception {
    test.site.platform().setFaults(new PlatformFaults(false, 0, 1));
    Ended e = test.ctl(0, "table", "set", "scans", "almaty-1", "limit=7");
    assertThat(e.text()).contains("outcome=accepted");
    eventually(
        () ->
            test.ctl(0, "table", "show", "--format", "csv")
                .text()
                .contains("scans,almaty-1,20,7,"));
  }

  @Test
  void shouldNotSayAcceptedWhenTheTableIsDown() {
    test.site.platform().setFaults(new PlatformFaults(true, 0, 0));
    Ended e = test.ctl(0, "table", "set", "scans", "almaty-2", "limit=6");
    assertThat(e.code()).isEqualTo(4);
    assertThat(e.text()).contains("remedy=");
  }

  @Test
  void shouldSendNothingToADataCentreThatIsOutAndRefuseTheLastOne() throws Exception {
    assertThat(test.ctl(0, "data-centre", "out", "almaty-2").code()).isZero();
    assertThat(test.ctl(0, "table", "watch", "--once").code()).isZero();
    long before = ran("almaty-2");
    for (int i = 0; i < 60; i++) {
      assertThat(test.call(i % 3, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(ran("almaty-2")).isEqualTo(before);
    assertThat(test.ctl(0, "data-centre", "out", "almaty-1").code()).isZero();
    Ended last = test.ctl(0, "data-centre", "out", "almaty-3");
    assertThat(last.code()).isEqualTo(2);
    assertThat(last.text()).contains("--force");
    assertThat(test.ctl(0, "data-centre", "in", "almaty-1").code()).isZero();
    assertThat(test.ctl(0, "data-centre", "in", "almaty-2").code()).isZero();
    assertThat(test.ctl(0, "data-centre", "out", "nowhere").code()).isEqualTo(2);
  }

  @Test
  void shouldFailNoRequestWhileADataCentreMoves() throws Exception {
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
      assertThat(test.ctl(i % 3, "data-centre", "out", "almaty-3").code()).isZero();
      assertThat(test.ctl(i % 3, "table", "watch", "--once").code()).isZero();
      assertThat(test.ctl(i % 3, "data-centre", "in", "almaty-3").code()).isZero();
      assertThat(test.ctl(i % 3, "table", "watch", "--once").code()).isZero();
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
        String answer = test.call(host, "booking");
        if (!answer.startsWith("HTTP/1.1 200")) {
          failures.add(answer);
        }
      } catch (java.io.IOException e) {
        failures.add(e.toString());
      }
    }
  }

  private static long ran(String dataCentre) {
    return test.site.upstreams().stream()
        .filter(u -> u.traits().dataCentre().equals(dataCentre))
        .mapToLong(dev.cactusstack.standin.UpstreamStandIn::ran)
        .sum();
  }

  @Test
  void shouldListHostsDataCentresAndUpstreams() throws Exception {
    eventually(
        () ->
            test.ctl(0, "status").text().lines().filter(l -> l.startsWith("search")).count() == 10);
    assertThat(test.ctl(0, "status").text()).contains("almaty-3-host-1").contains("alive");
  }

  @Test
  void shouldSayWhatIsWrongWhenTheCommandIsInvalid() {
    assertThat(test.ctl(0, "table", "set", "search", "almaty-1").code()).isEqualTo(2);
    assertThat(test.ctl(0, "table", "set", "search", "almaty-1", "height=3").code()).isEqualTo(2);
    assertThat(test.ctl(0, "table", "set", "search", "almaty-9", "weight=3").code()).isEqualTo(2);
    assertThat(test.ctl(0, "dance").code()).isEqualTo(2);
    assertThat(test.ctl(0, "--format", "xml", "table", "show").code()).isEqualTo(2);
  }
}
