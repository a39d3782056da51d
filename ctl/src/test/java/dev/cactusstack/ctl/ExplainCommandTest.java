package dev.cactusstack.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExplainCommandTest {
  private static final String ENTRY =
      """
      time=2026-04-01T10:00:00.000Z event=started host=entry-1 callers=10.0.0.1:80
      time=2026-04-01T10:00:01.000Z event=configuration version=3 revision=9 evacuated=[]
      time=2026-04-01T10:00:02.000Z event=configuration version=4 revision=12 evacuated=[]
      time=2026-04-01T10:00:05.002Z event=sent id=r1 route=a upstream=u1 address=10.0.1.1:80 ask=7
      time=2026-04-01T10:00:05.100Z event=sent id=r2 route=a upstream=u2 address=10.0.1.2:80 ask=8
      not an event line
      time=2026-04-01T10:00:06.000Z event=refused id=r1 route=a why=late attempts=1
      """;
  private static final String SCHEDULER =
      """
      time=2026-04-01T10:00:00.000Z event=started host=entry-2 callers=10.0.0.2:80
      time=2026-04-01T10:00:03.000Z event=upstream id=u1 service=s state=serving
      time=2026-04-01T10:00:05.001Z event=decided service=s asker=%1$d ask=7 outcome=placed upstream=u1
      time=2026-04-01T10:00:05.001Z event=decided service=s asker=%2$d ask=7 outcome=placed upstream=u3
      time=2026-04-01T10:00:05.500Z event=upstream id=u1 service=s state=leaving
      """
          .formatted("entry-1".hashCode(), "entry-9".hashCode());

  private static CommandResult explain(String id, String text) throws IOException {
    var in = new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
    return new ExplainCommand(id).run(List.of(), in);
  }

  @Test
  void shouldPrintEventsDecisionsAndKnownStatesInOrderWhenLogsOfSeveralHostsAreGiven(
      @TempDir Path dir) throws IOException {
    Path a = Files.writeString(dir.resolve("a.log"), ENTRY);
    Path b = Files.writeString(dir.resolve("b.log"), SCHEDULER);
    CommandResult end =
        new ExplainCommand("r1").run(List.of(a, b), new ByteArrayInputStream(new byte[0]));
    assertThat(end.exitCode()).isEqualTo(ExitCode.SUCCESS);
    assertThat(end.output()).hasSize(5);
    assertThat(end.output().get(0)).startsWith("believed host=entry-1").contains("version=4");
    assertThat(end.output().get(1)).startsWith("believed host=entry-2").contains("state=serving");
    assertThat(end.output().get(2))
        .startsWith("host=entry-2")
        .contains("outcome=placed upstream=u1");
    assertThat(end.output().get(3)).startsWith("host=entry-1").contains("event=sent id=r1");
    assertThat(end.output().get(4)).contains("why=late");
  }

  @Test
  void shouldPrintWhatAnUpstreamHadSaidWhenAPlacementOnItWasTurnedDown() throws IOException {
    String text =
        """
        time=2026-04-01T10:00:00.000Z event=started host=entry-1 callers=10.0.0.1:80
        time=2026-04-01T10:00:01.000Z event=upstream_notice upstream=u1 says=limit per_second=3.0 before=none status=200
        time=2026-04-01T10:00:02.000Z event=upstream_notice upstream=u1 says=limit per_second=1.5 before=3.0 status=200
        time=2026-04-01T10:00:02.500Z event=upstream_notice upstream=u2 says=limit per_second=9.0 before=none status=200
        time=2026-04-01T10:00:05.001Z event=upstream_declined id=r1 route=a upstream=u1 why=limited
        time=2026-04-01T10:00:06.000Z event=refused id=r1 route=a why=no-room attempts=0
        """;
    List<String> output = explain("r1", text).output();
    assertThat(output).hasSize(4);
    assertThat(output.get(0))
        .startsWith("believed host=entry-1")
        .contains("event=upstream_notice upstream=u1 says=limit per_second=1.5");
    assertThat(output.get(3)).startsWith("cause host=entry-1 status=503");
  }

  @Test
  void shouldReadTheHostFromTheWordBeforeTheTimeWhenLogsWereCollected() throws IOException {
    String line = "time=2026-04-01T10:00:05.002Z event=refused id=r1 route=a why=no-room";
    assertThat(explain("r1", "  5.1 entry-7 " + line).output())
        .containsExactly(
            "host=entry-7 " + line,
            "cause host=entry-7 status=503 text=\"no upstream had a free slot in time\"");
  }

  @Test
  void shouldReportAnUnknownRequestWhenNoLineContainsItsId() throws IOException {
    CommandResult end = explain("r9", ENTRY);
    assertThat(end.exitCode()).isEqualTo(ExitCode.INVALID);
    assertThat(end.errors().get(0)).contains("r9").contains("logs of all hosts");
  }

  /** Guards against reasons that look alike: each tells operators to do something else. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          why=unauthorized target=/a | status=401 text="the API key was missing, malformed, unknown
          workspace=acme why=unauthorized attempts=0 | status=401 text="the API key of workspace acme was revoked
          why=key-unchecked target=/a | status=503 text="the API key was unknown to a host that was out of touch
          workspace=acme why=over-quota rate=2.5 burst=10 retry_ms=310 | status=429 text="workspace acme was over its quota of 2.5 requests a second and a burst of 10
          workspace=acme why=no-room attempts=0 retry_ms=258 | status=503 text="no upstream had a free slot in time, although workspace acme was within its quota; the caller was told to wait 258 ms
          """)
  void shouldTellTheReasonsOfRefusalsApart(String fields, String expected) throws IOException {
    String line = "time=2026-04-01T10:00:05.002Z event=refused id=r1 route=a " + fields;
    List<String> output = explain("r1", "entry-7 " + line).output();
    assertThat(output).hasSize(2);
    assertThat(output.get(1)).startsWith("cause host=entry-7 " + expected);
  }

  @Test
  void shouldTellNoCauseWhenTheRequestMayHaveRun() throws IOException {
    String line = "time=2026-04-01T10:00:05.002Z event=refused id=r1 route=a why=late attempts=1";
    assertThat(explain("r1", "entry-7 " + line).output()).containsExactly("host=entry-7 " + line);
  }
}
