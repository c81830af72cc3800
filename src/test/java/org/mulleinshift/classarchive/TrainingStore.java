package org.mulleinshift.classarchive;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The part of the key-value store that one controller needs to become leader and run jobs. It
 * ignores the conditions of transactions and expires no lease, so it is unfit for tests and
 * measurements.
 */
final class TrainingStore implements TrainingServer.Service {
  private static final String KEY_PREFIX = "/keys/";
  private static final String REVISION = "stamp";
  private static final String STORE_REVISION = "epoch";

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, ObjectNode> entries = new TreeMap<>();
  private final List<ObjectNode> changes = new ArrayList<>();
  private long revision;

  @Override
  public synchronized Optional<String> answer(HttpExchange exchange, String body)
      throws IOException {
    String path = exchange.getRequestURI().getPath();
    String query = String.valueOf(exchange.getRequestURI().getRawQuery());
    if (path.equals("/commit")) {
      return Optional.of(commit(json.readTree(body)));
    }
    if (path.startsWith("/holds")) {
      return Optional.of("{\"hold\":1}");
    }
    if (path.equals("/changes")) {
      return Optional.of(
          changes(parameter(query, "starts"), Long.parseLong(parameter(query, "from"))));
    }
    if (path.equals("/keys")) {
      return Optional.of(range(parameter(query, "starts")));
    }
    return Optional.ofNullable(entries.get(path.substring(KEY_PREFIX.length())))
        .map(ObjectNode::toString);
  }

  private static String parameter(String query, String name) {
    for (String part : query.split("&", 0)) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  private String range(String prefix) {
    ObjectNode node = json.createObjectNode().put("more", false).put(STORE_REVISION, revision);
    ArrayNode rows = node.putArray("rows");
    entries.forEach(
        (key, entry) -> {
          if (key.startsWith(prefix)) {
            rows.add(entry);
          }
        });
    return node.toString();
  }

  private String commit(JsonNode transaction) {
    revision++;
    for (JsonNode write : transaction.path("writes")) {
      changes.add(apply(write));
    }
    return "{\"epoch\":" + revision + "}";
  }

  private ObjectNode apply(JsonNode write) {
    ObjectNode change = json.createObjectNode().put(REVISION, revision);
    if (write.has("set")) {
      String key = write.get("set").asText();
      ObjectNode entry = json.createObjectNode().put("k", key).put(REVISION, revision);
      entry.set("value", write.get("value"));
      entries.put(key, entry);
      change.put("set", key).set("value", write.get("value"));
    } else {
      entries.remove(write.path("delete").asText());
      change.put("delete", write.path("delete").asText());
    }
    return change;
  }

  private String changes(String prefix, long from) {
    ObjectNode node = json.createObjectNode().put(STORE_REVISION, revision);
    ArrayNode matching = node.putArray("news");
    for (ObjectNode change : changes) {
      String key = change.path(change.has("set") ? "set" : "delete").asText();
      if (change.path(REVISION).asLong() > from && key.startsWith(prefix)) {
        matching.add(change);
      }
    }
    return node.toString();
  }
}
