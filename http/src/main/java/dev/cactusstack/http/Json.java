package dev.cactusstack.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** Reads and writes JSON trees. Stateless and thread-safe. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /**
   * Creates an empty object.
   *
   * @return the object
   */
  public static ObjectNode newObject() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Serializes a tree.
   *
   * @param node the tree
   * @return UTF-8 bytes
   */
  public static byte[] toBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Parses a document.
   *
   * @param bytes UTF-8 bytes
   * @return the tree, or nothing when the bytes are not one JSON document
   */
  public static Optional<JsonNode> parse(byte[] bytes) {
    try {
      JsonNode n = MAPPER.readTree(bytes);
      return n == null || n.isMissingNode() ? Optional.empty() : Optional.of(n);
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
