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
  private final List<SettingsError> faults;
  private final Set<String> read = new HashSet<>();

  Section(String path, JsonNode node, List<SettingsError> faults) {
    this.path = path;
    this.node = node;
    this.faults = faults;
  }

  Section section(String key) {
    JsonNode n = take(key);
    if (!n.isMissingNode() && !n.isObject()) {
      fault(key, n, "write an object in braces");
    }
    ObjectNode empty = JsonNodeFactory.instance.objectNode();
    return new Section(at(key), n.isObject() ? n : empty, faults);
  }

  Optional<Section> optionalSection(String key) {
    return node.has(key) ? Optional.of(section(key)) : Optional.empty();
  }

  List<Section> sections(String key) {
    JsonNode n = take(key);
    if (!n.isMissingNode() && !n.isArray()) {
      fault(key, n, "write a list in brackets");
    }
    var list = new ArrayList<Section>();
    for (int i = 0; n.isArray() && i < n.size(); i++) {
      list.add(new Section(at(key) + "[" + i + "]", n.get(i), faults));
    }
    return list;
  }

  Optional<String> optionalString(String key) {
    JsonNode n = take(key);
    if (n.isMissingNode()) {
      return Optional.empty();
    }
    if (!n.isTextual() || n.asText().isBlank()) {
      fault(key, n, "write a non-empty text in quotes");
      return Optional.empty();
    }
    return Optional.of(n.asText());
  }

  String string(String key, String example) {
    Optional<String> s = optionalString(key);
    if (s.isEmpty() && !node.has(key)) {
      fault(key, node.path(key), "add it, as \"" + example + "\"");
    }
    return s.orElse(example);
  }

  <T> T parsed(String key, String example, Function<String, Result<T>> parse) {
    String text = string(key, example);
    return parse
        .apply(text)
        .fold(
            p -> {
              fault(key, node.path(key), p.remedy());
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

  long integer(String key, long standard, long min, long max) {
    JsonNode n = take(key);
    if (n.isMissingNode()) {
      return standard;
    }
    if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < min || n.asLong() > max) {
      fault(
          key,
          n,
          "write a whole number from " + min + " to " + max + ", or leave it out for " + standard);
      return standard;
    }
    return n.asLong();
  }

  double fraction(String key, double standard) {
    JsonNode n = take(key);
    if (n.isMissingNode()) {
      return standard;
    }
    if (!n.isNumber() || n.asDouble() < 0 || n.asDouble() > 1) {
      fault(key, n, "write a number from 0 to 1, or leave it out for " + standard);
      return standard;
    }
    return n.asDouble();
  }

  void fault(String key, String remedy) {
    fault(key, node.path(key), remedy);
  }

  private void fault(String key, JsonNode n, String remedy) {
    faults.add(new SettingsError(at(key), n.isMissingNode() ? ABSENT : n.toString(), remedy));
  }

  /** Records a fault that does not show the value, for secrets. */
  void secretFault(String key, String remedy) {
    faults.add(new SettingsError(at(key), "hidden", remedy));
  }

  /** Reports the keys that nothing has read. */
  void finish() {
    if (!node.isObject()) {
      faults.add(new SettingsError(path, node.toString(), "write an object in braces"));
      return;
    }
    node.fieldNames()
        .forEachRemaining(
            k -> {
              if (!read.contains(k)) {
                fault(
                    k,
                    node.path(k),
                    "remove it; the known keys here are "
                        + String.join(", ", read.stream().sorted().toList()));
              }
            });
  }

  private JsonNode take(String key) {
    read.add(key);
    return node.path(key);
  }

  private String at(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
