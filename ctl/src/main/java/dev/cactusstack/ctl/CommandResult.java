package dev.cactusstack.ctl;

import java.util.List;
import java.util.Objects;

/**
 * What a command prints and how it ends. Immutable and thread-safe.
 *
 * @param exitCode how it ended
 * @param output lines for standard output
 * @param errors lines for standard error
 */
record CommandResult(ExitCode exitCode, List<String> output, List<String> errors) {
  CommandResult {
    Objects.requireNonNull(exitCode, "code is null");
    output = List.copyOf(output);
    errors = List.copyOf(errors);
  }

  static CommandResult succeeded(List<String> output) {
    return new CommandResult(ExitCode.SUCCESS, output, List.of());
  }

  static CommandResult invalid(String message, String remedy) {
    return failed(ExitCode.INVALID, "invalid", message, remedy);
  }

  static CommandResult failed(ExitCode code, String outcome, String message, String remedy) {
    return new CommandResult(
        code,
        List.of(),
        List.of("outcome=" + outcome + " reason=" + quote(message) + " remedy=" + quote(remedy)));
  }

  static String quote(String s) {
    return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ") + '"';
  }
}
