package dev.cactusstack.model;

import java.util.Objects;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Validates lower-case DNS labels, the format of all names. Stateless and thread-safe. */
final class DnsLabels {
  private static final Pattern LABEL_PATTERN =
      Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  private DnsLabels() {}

  static boolean isValid(String text) {
    return LABEL_PATTERN.matcher(text).matches();
  }

  static String requireValid(String text, String description) {
    Objects.requireNonNull(text, "value is null");
    if (!isValid(text)) {
      throw new IllegalArgumentException("not a " + description + ": " + text);
    }
    return text;
  }

  static <T> Result<T> parse(String text, String description, Function<String, T> constructor) {
    Objects.requireNonNull(text, "text is null");
    return isValid(text)
        ? Result.success(constructor.apply(text))
        : Result.failure(
            Problem.invalid(
                "'" + text + "' is not a " + description,
                "use 1 to 63 lower-case letters, digits and inner hyphens"));
  }
}
