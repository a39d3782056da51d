package dev.cactusstack.ctl;

import java.util.List;
import java.util.Objects;

/**
 * What a command prints and how it ends. Immutable and thread-safe.
 *
 * @param code how it ended
 * @param output lines for standard output
 * @param errors lines for standard error
 */
record CommandEnd(ExitCode code, List<String> output, List<String> errors) {
  CommandEnd {
    Objects.requireNonNull(code, "code is null");
    output = List.copyOf(output);
    errors = List.copyOf(errors);
  }

  static CommandEnd done(List<String> output) {
    return new CommandEnd(ExitCode.DONE, output, List.of());
  }

  static CommandEnd invalid(String message, String remedy) {
    return failed(ExitCode.INVALID, "invalid", message, remedy);
  }

  static CommandEnd failed(ExitCode code, String outcome, String message, String remedy) {
    return new CommandEnd(
        code,
        List.of(),
        List.of("outcome=" + outcome + " reason=" + quote(message) + " remedy=" + quote(remedy)));
  }

  static String quote(String s) {
    return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ") + '"';
  }
}
