package dev.cactusstack.model;

import java.util.Objects;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Checks lower-case DNS labels, the form of all names. Stateless and thread-safe. */
final class Labels {
  private static final Pattern FORM = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  private Labels() {}

  static boolean isLabel(String text) {
    return FORM.matcher(text).matches();
  }

  static String require(String text, String what) {
    Objects.requireNonNull(text, "value is null");
    if (!isLabel(text)) {
      throw new IllegalArgumentException("not a " + what + ": " + text);
    }
    return text;
  }

  static <T> Result<T> parse(String text, String what, Function<String, T> create) {
    Objects.requireNonNull(text, "text is null");
    return isLabel(text)
        ? Result.success(create.apply(text))
        : Result.failure(
            Problem.invalid(
                "'" + text + "' is not a " + what,
                "use 1 to 63 lower-case letters, digits and inner hyphens"));
  }
}
