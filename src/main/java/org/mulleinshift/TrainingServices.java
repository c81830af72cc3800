package org.mulleinshift;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mulleinshift.settings.PlatformSettings;

/**
 * As much of a state service and a cloud as one controller needs to lead, rent a machine and run a
 * job while the class archive is recorded. It checks nothing: no test and no measurement uses it.
 */
final class TrainingServices {
  private static final String MACHINE =
      "{\"ref\":\"i-1\",\"addr\":\"127.0.0.1:1\",\"build\":\"r\",\"yard\":\"here\",\"loaner\":true,"
          + "\"phase\":\"running\",\"held_s\":5}";

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, ObjectNode> keys = new TreeMap<>();
  private final List<ObjectNode> changes = new ArrayList<>();
  private long epoch;

  /** The settings with the ways to these two, on whatever ports are free. */
  PlatformSettings serve(PlatformSettings settings) throws IOException {
    InetSocketAddress state = start(this::answerState);
    InetSocketAddress cloud = start((exchange, body) -> answerCloud(exchange));
    return new PlatformSettings(
        settings.label(),
        settings.zone(),
        settings.publicAddress(),
        settings.peerBind(),
        settings.members(),
        cloud,
        state,
        settings.cluster(),
        settings.limits());
  }

  private interface Answerer {
    String answer(HttpExchange exchange, String body) throws IOException;
  }

  private static InetSocketAddress start(Answerer answerer) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
    server.createContext(
        "/",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          String answer = answerer.answer(exchange, body);
          byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(answer.startsWith("{\"none") ? 404 : 200, bytes.length);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
          }
        });
    server.start();
    return server.getAddress();
  }

  private static String answerCloud(HttpExchange exchange) {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/catalog")) {
      return "{\"builds\":[{\"label\":\"r\",\"cpus\":8,\"cards\":0,\"ram_gb\":32,\"local_gb\":20,"
          + "\"pull_gb_per_s\":1.0,\"rate\":1.0,\"market_price\":0.5,\"startup_s\":1,"
          + "\"yards\":[\"here\"]}]}";
    }
    return exchange.getRequestMethod().equals("GET")
        ? "{\"hosts\":[" + MACHINE + "],\"more\":false}"
        : "{\"hosts\":[\"i-1\"]}";
  }

  private synchronized String answerState(HttpExchange exchange, String body) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String query = String.valueOf(exchange.getRequestURI().getRawQuery());
    if (path.equals("/commit")) {
      return commit(json.readTree(body));
    }
    if (path.startsWith("/holds")) {
      return "{\"hold\":1}";
    }
    if (path.equals("/changes")) {
      return changes(value(query, "starts"), Long.parseLong(value(query, "from")));
    }
    if (path.equals("/keys")) {
      ObjectNode node = json.createObjectNode().put("more", false).put("epoch", epoch);
      ArrayNode rows = node.putArray("rows");
      keys.forEach(
          (key, row) -> {
            if (key.startsWith(value(query, "starts"))) {
              rows.add(row);
            }
          });
      return node.toString();
    }
    ObjectNode found = keys.get(path.substring("/keys/".length()));
    return found == null ? "{\"none\":true,\"epoch\":" + epoch + "}" : found.toString();
  }

  private static String value(String query, String name) {
    for (String part : query.split("&", 0)) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  private String commit(JsonNode body) {
    epoch++;
    for (JsonNode write : body.path("writes")) {
      ObjectNode change = json.createObjectNode().put("stamp", epoch);
      if (write.has("set")) {
        String key = write.get("set").asText();
        ObjectNode row = json.createObjectNode().put("k", key).put("stamp", epoch);
        row.set("value", write.get("value"));
        keys.put(key, row);
        change.put("set", key).set("value", write.get("value"));
      } else {
        keys.remove(write.path("delete").asText());
        change.put("delete", write.path("delete").asText());
      }
      changes.add(change);
    }
    return "{\"epoch\":" + epoch + "}";
  }

  private String changes(String prefix, long from) {
    ObjectNode node = json.createObjectNode().put("epoch", epoch);
    ArrayNode news = node.putArray("news");
    for (ObjectNode change : changes) {
      String key = change.path(change.has("set") ? "set" : "delete").asText();
      if (change.path("stamp").asLong() > from && key.startsWith(prefix)) {
        news.add(change);
      }
    }
    return node.toString();
  }
}
