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

/** Reading of JSON trees with checked fields. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(64).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
  static final int MAX_NAME = 200;

  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads the text token by token. */
  static JsonParser parser(String text) throws IOException {
    return MAPPER.getFactory().createParser(text);
  }

  /** Reads one JSON object. */
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

  public static String text(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isTextual() || node.asText().isEmpty() || node.asText().length() > MAX_NAME) {
      throw new MalformedMessageException(key + " is missing or not a short text");
    }
    return node.asText();
  }

  public static double amount(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    double value = node.isNumber() ? node.asDouble() : Double.NaN;
    if (!(value >= 0 && value <= 1e9)) {
      throw new MalformedMessageException(key + " is missing or not an amount");
    }
    return value;
  }

  public static long count(JsonNode parent, String key, long least, long most)
      throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.asLong() < least
        || node.asLong() > most) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return node.asLong();
  }

  public static boolean flag(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isBoolean()) {
      throw new MalformedMessageException(key + " is missing or not a boolean");
    }
    return node.asBoolean();
  }
}
