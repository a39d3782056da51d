package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.ctl.OperatorApiClient.ApiResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Turns answers of entry hosts into ends of commands. Stateless. */
final class ResponseMapper {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private ResponseMapper() {}

  /** The end that an answer forces, when it is not the one hoped for. */
  static Optional<CommandResult> error(ApiResponse a) {
    if (a.status() < BAD_REQUEST) {
      return Optional.empty();
    }
    return Optional.of(
        CommandResult.failed(
            exitCodeOf(a.status()),
            outcomeOf(a),
            a.body().path("message").asText(),
            a.body().path("remedy").asText()));
  }

  private static ExitCode exitCodeOf(int status) {
    return switch (status) {
      case UNAUTHORIZED -> ExitCode.NOT_AUTHORISED;
      case BAD_REQUEST, NOT_FOUND -> ExitCode.INVALID;
      default -> ExitCode.NOT_ACCEPTED_OR_UNKNOWN;
    };
  }

  private static String outcomeOf(ApiResponse a) {
    return a.status() == UNAUTHORIZED
        ? "not-authorised"
        : a.body().path("outcome").asText("not-accepted");
  }

  static CommandResult editResult(ApiResponse a) {
    JsonNode b = a.body();
    return switch (b.path("outcome").asText()) {
      case "accepted" ->
          CommandResult.succeeded(List.of("outcome=accepted version=" + b.path("version").asLong()));
      case "conflict" -> conflict(b);
      default ->
          error(a)
              .orElseGet(
                  () ->
                      CommandResult.failed(
                          ExitCode.NOT_ACCEPTED_OR_UNKNOWN,
                          "unknown",
                          "the host's answer is not understood",
                          "look at 'table show' before repeating the edit"));
    };
  }

  private static CommandResult conflict(JsonNode b) {
    var lines = new ArrayList<String>();
    lines.add(
        "outcome=conflict reason=\"another edit was first; nothing was changed\""
            + " remedy=\"look at both sides, then edit with --if-version of theirs\"");
    for (JsonNode c : b.path("conflicts")) {
      lines.add("mine:   " + row(c.path("mine")));
      lines.add("theirs: " + row(c.path("theirs")));
    }
    return new CommandResult(ExitCode.CONFLICT, List.of(), lines);
  }

  private static String row(JsonNode n) {
    return TableRow.parse(n).fold(p -> n.toString(), TableRow::toString);
  }
}
