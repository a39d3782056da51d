package dev.cactusstack.decisions.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.Edit;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteColumn;
import dev.cactusstack.model.RouteKey;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class EditPlanTest {
  private static final RouteKey KEY = RouteKey.of("search", "almaty-1");

  private static ConfigurationTable table(long version, Route row) {
    var rows = new TreeMap<RouteKey, Route>();
    rows.put(row.key(), row);
    return new ConfigurationTable(version, rows, new TreeMap<>());
  }

  private static Route row(long version, int weight, String... operations) {
    return new Route(KEY, weight, 40, 4, version, List.of(operations));
  }

  private static EditPlan plan(String operation, int weight, OptionalLong ifVersion) {
    var values = new TreeMap<RouteColumn, Integer>();
    values.put(RouteColumn.WEIGHT, weight);
    return new EditPlan(operation, List.of(new Edit(KEY, values, ifVersion)), OptionalLong.empty());
  }

  private static ChangePlan.Step.Commit commit(EditPlan plan, ConfigurationTable t) {
    return (ChangePlan.Step.Commit) plan.nextStep(t);
  }

  @Test
  void shouldExpectTheReadVersionWhenItCommits() {
    ChangePlan.Step.Commit c = commit(plan("a", 30, OptionalLong.empty()), table(7, row(5, 20)));
    assertThat(c.routes()).containsExactly(row(5, 30, "a"));
  }

  @Test
  void shouldReportBothRowsWhenAnotherEditWasCommittedFirst() {
    ChangePlan.Step s = plan("a", 30, OptionalLong.of(5)).nextStep(table(7, row(6, 25, "b")));
    EditOutcome o = ((ChangePlan.Step.Done) s).outcome();
    EditOutcome.RowConflict sides = ((EditOutcome.Conflict) o).rowConflicts().get(0);
    assertThat(sides.mine().weight()).isEqualTo(30);
    assertThat(sides.theirs().weight()).isEqualTo(25);
  }

  @Test
  void shouldBeAcceptedWithoutACommitWhenItWasAlreadyApplied() {
    ChangePlan.Step s = plan("a", 30, OptionalLong.of(5)).nextStep(table(9, row(8, 30, "a")));
    assertThat(((ChangePlan.Step.Done) s).outcome()).isEqualTo(new EditOutcome.Accepted(8));
  }

  @Test
  void shouldNotBeAcceptedWhenARowIsUnknownOrDuplicated() {
    var values = new TreeMap<RouteColumn, Integer>();
    values.put(RouteColumn.LIMIT, 1);
    var known = new Edit(KEY, values, OptionalLong.empty());
    var unknown = new Edit(RouteKey.of("nope", "almaty-1"), values, OptionalLong.empty());
    for (List<Edit> edits : List.of(List.of(known, unknown), List.of(known, known))) {
      ChangePlan.Step s =
          new EditPlan("a", edits, OptionalLong.empty()).nextStep(table(7, row(5, 20)));
      assertThat(((ChangePlan.Step.Done) s).outcome()).isInstanceOf(EditOutcome.NotAccepted.class);
    }
  }

  @Test
  void shouldDetermineTheCommitStatusWhenTheResponseWasLost() {
    ChangePlan.Step.Commit c =
        commit(plan("a", 30, OptionalLong.empty()), table(7, row(5, 20, "older")));
    assertThat(c.statusIn(table(8, row(8, 30, "a", "older")))).isEqualTo(CommitStatus.APPLIED);
    assertThat(c.statusIn(table(9, row(9, 1, "b", "a", "older")))).isEqualTo(CommitStatus.APPLIED);
    assertThat(c.statusIn(table(8, row(8, 25, "b", "older")))).isEqualTo(CommitStatus.NOT_APPLIED);
    assertThat(c.statusIn(table(8, row(5, 20, "older")))).isEqualTo(CommitStatus.PENDING);
    Route forgotten = row(20, 1, "i", "j", "k", "l", "m", "n", "o", "p");
    assertThat(c.statusIn(table(20, forgotten))).isEqualTo(CommitStatus.UNKNOWN);
  }
}
