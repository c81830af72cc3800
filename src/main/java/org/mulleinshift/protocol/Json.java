package org.mulleinshift.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Writes JSON, and parses JSON objects with validated fields. */
public final class Json {
  /** Maximum length of a name, text or id in a message, in characters. */
  static final int MAX_NAME_LENGTH = 200;

  private static final int MAX_NESTING_DEPTH = 64;
  private static final double MAX_AMOUNT = 1e9;
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  private Json() {}

  /** Returns a new, empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns the tree as JSON text without white space. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a streaming parser of the text. */
  static JsonParser parser(String text) throws IOException {
    return MAPPER.getFactory().createParser(text);
  }

  /**
   * Parses a JSON object. Duplicate fields and text after the object are errors.
   *
   * @throws MalformedMessageException if the text is not a single valid JSON object
   */
  public static JsonNode parseObject(String text) throws MalformedMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new MalformedMessageException("not JSON");
    }
    if (node == null || !node.isObject()) {
      throw new MalformedMessageException("not an object");
    }
    return node;
  }

  /**
   * Returns a field that must be a text of 1 to 200 characters.
   *
   * @throws MalformedMessageException if it is missing or invalid
   */
  public static String text(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isTextual() || node.asText().isEmpty() || node.asText().length() > MAX_NAME_LENGTH) {
      throw new MalformedMessageException(key + " is missing or not a short text");
    }
    return node.asText();
  }

  /**
   * Returns a field that must be a number from 0 to 1e9.
   *
   * @throws MalformedMessageException if it is missing or invalid
   */
  public static double amount(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    double value = node.isNumber() ? node.asDouble() : Double.NaN;
    if (!(value >= 0 && value <= MAX_AMOUNT)) {
      throw new MalformedMessageException(key + " is missing or not an amount");
    }
    return value;
  }

  /**
   * Returns a field that must be an integer within bounds.
   *
   * @param min the smallest valid value, inclusive
   * @param max the largest valid value, inclusive
   * @throws MalformedMessageException if it is missing or invalid
   */
  public static long count(JsonNode parent, String key, long min, long max)
      throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.asLong() < min
        || node.asLong() > max) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return node.asLong();
  }

  /**
   * Returns a field that must be a boolean.
   *
   * @throws MalformedMessageException if it is missing or invalid
   */
  public static boolean flag(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isBoolean()) {
      throw new MalformedMessageException(key + " is missing or not a boolean");
    }
    return node.asBoolean();
  }
}
