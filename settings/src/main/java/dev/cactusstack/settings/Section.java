package dev.cactusstack.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.Result;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * One object of a settings file. Each read that fails records a fault and returns a stand-in value,
 * so that one pass finds all faults. Confined to one thread.
 */
final class Section {
  private static final String ABSENT = "absent";

  private final String path;
  private final JsonNode node;
  private final List<SettingsError> errors;
  private final Set<String> knownKeys = new HashSet<>();

  Section(String path, JsonNode node, List<SettingsError> errors) {
    this.path = path;
    this.node = node;
    this.errors = errors;
  }

  Section section(String key) {
    JsonNode n = readKey(key);
    if (!n.isMissingNode() && !n.isObject()) {
      addError(key, n, "write an object in braces");
    }
    ObjectNode empty = JsonNodeFactory.instance.objectNode();
    return new Section(pathOf(key), n.isObject() ? n : empty, errors);
  }

  Optional<Section> optionalSection(String key) {
    return node.has(key) ? Optional.of(section(key)) : Optional.empty();
  }

  List<Section> sections(String key) {
    JsonNode n = readKey(key);
    if (!n.isMissingNode() && !n.isArray()) {
      addError(key, n, "write a list in brackets");
    }
    var list = new ArrayList<Section>();
    for (int i = 0; n.isArray() && i < n.size(); i++) {
      list.add(new Section(pathOf(key) + "[" + i + "]", n.get(i), errors));
    }
    return list;
  }

  Optional<String> optionalString(String key) {
    JsonNode n = readKey(key);
    if (n.isMissingNode()) {
      return Optional.empty();
    }
    if (!n.isTextual() || n.asText().isBlank()) {
      addError(key, n, "write a non-empty text in quotes");
      return Optional.empty();
    }
    return Optional.of(n.asText());
  }

  String string(String key, String example) {
    Optional<String> s = optionalString(key);
    if (s.isEmpty() && !node.has(key)) {
      addError(key, node.path(key), "add it, as \"" + example + "\"");
    }
    return s.orElse(example);
  }

  <T> T parsed(String key, String example, Function<String, Result<T>> parse) {
    String text = string(key, example);
    return parse
        .apply(text)
        .fold(
            p -> {
              addError(key, node.path(key), p.remedy());
              return parse.apply(example).fold(q -> fail(key), v -> v);
            },
            v -> v);
  }

  private static <T> T fail(String key) {
    throw new IllegalStateException("the example for " + key + " is not valid");
  }

  Address address(String key, String example) {
    return parsed(key, example, Address::parse);
  }

  long integer(String key, long defaultValue, long min, long max) {
    JsonNode n = readKey(key);
    if (n.isMissingNode()) {
      return defaultValue;
    }
    if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < min || n.asLong() > max) {
      addError(
          key,
          n,
          "write a whole number from " + min + " to " + max + ", or leave it out for " + defaultValue);
      return defaultValue;
    }
    return n.asLong();
  }

  double fraction(String key, double defaultValue) {
    JsonNode n = readKey(key);
    if (n.isMissingNode()) {
      return defaultValue;
    }
    if (!n.isNumber() || n.asDouble() < 0 || n.asDouble() > 1) {
      addError(key, n, "write a number from 0 to 1, or leave it out for " + defaultValue);
      return defaultValue;
    }
    return n.asDouble();
  }

  void addError(String key, String remedy) {
    addError(key, node.path(key), remedy);
  }

  private void addError(String key, JsonNode n, String remedy) {
    errors.add(new SettingsError(pathOf(key), n.isMissingNode() ? ABSENT : n.toString(), remedy));
  }

  /** Records a fault that does not show the value, for secrets. */
  void addSecretError(String key, String remedy) {
    errors.add(new SettingsError(pathOf(key), "hidden", remedy));
  }

  /** Reports the keys that nothing has read. */
  void rejectUnknownKeys() {
    if (!node.isObject()) {
      errors.add(new SettingsError(path, node.toString(), "write an object in braces"));
      return;
    }
    node.fieldNames()
        .forEachRemaining(
            k -> {
              if (!knownKeys.contains(k)) {
                addError(
                    k,
                    node.path(k),
                    "remove it; the known keys here are "
                        + String.join(", ", knownKeys.stream().sorted().toList()));
              }
            });
  }

  private JsonNode readKey(String key) {
    knownKeys.add(key);
    return node.path(key);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
