package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The state service's interface. */
public final class StoreCodec {
  public static final String COMMIT = "/commit";
  public static final String LEASES = "/holds";
  public static final int RANGE_LIMIT = 250;

  /** A key with its value and the revision of its last change. */
  public record KeyValue(String key, JsonNode value, Revision revision) {}

  /** One page of keys. */
  public record Range(List<KeyValue> items, boolean more, Revision revision) {
    /** After which key the next page begins, if there is one. */
    public Optional<String> next() {
      return more && !items.isEmpty()
          ? Optional.of(items.get(items.size() - 1).key())
          : Optional.empty();
    }
  }

  /** A change that a watch saw; without a value the key was deleted. */
  public record Change(String key, Optional<JsonNode> value, Revision revision) {}

  /** What a watch saw. */
  public record Changes(List<Change> changes, Revision revision) {}

  /** Demands that a key has this version; 0: it does not exist. */
  public record Compare(String key, Revision revision) {}

  /** A put or, without a value, a delete. The value is JSON text: it is encoded once. */
  public record Write(String key, Optional<String> value, Optional<LeaseId> lease) {
    public static Write put(String key, JsonNode value) {
      return new Write(key, Optional.of(Json.write(value)), Optional.empty());
    }

    public static Write put(String key, JsonNode value, LeaseId hold) {
      return new Write(key, Optional.of(Json.write(value)), Optional.of(hold));
    }

    /** What the service counts against the limit of a value. */
    public int bytes() {
      return value.map(text -> StoreCodec.bytes(text)).orElse(0);
    }

    public static Write delete(String key) {
      return new Write(key, Optional.empty(), Optional.empty());
    }
  }

  private StoreCodec() {}

  /** How long a value is for the service. */
  public static int bytes(JsonNode value) {
    return bytes(Json.write(value));
  }

  /** How long a text is for the service. */
  public static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  public static String rangePath(String prefix, Optional<String> after) {
    return "/keys?starts="
        + prefix
        + after.map(key -> "&from=" + key).orElse("")
        + "&limit="
        + RANGE_LIMIT;
  }

  public static String watchPath(String prefix, Revision from, Duration wait) {
    return "/changes?starts=" + prefix + "&from=" + from + "&hold_ms=" + wait.toMillis();
  }

  public static String renewLeasePath(LeaseId hold) {
    return LEASES + "/" + hold + "/renew";
  }

  public static String leasePath(LeaseId hold) {
    return LEASES + "/" + hold;
  }

  public static String grantLease(Duration ttl) {
    return Json.write(Json.object().put("ttl_ms", ttl.toMillis()));
  }

  public static String commit(List<Compare> guards, List<Write> writes) {
    ObjectNode node = Json.object();
    ArrayNode conditions = node.putArray("guards");
    for (Compare guard : guards) {
      conditions.addObject().put("k", guard.key()).put("stamp", guard.revision().value());
    }
    ArrayNode changes = node.putArray("writes");
    for (Write write : writes) {
      ObjectNode item = changes.addObject();
      if (write.value().isEmpty()) {
        item.put("delete", write.key());
      } else {
        item.put("set", write.key());
        item.putRawValue("value", new RawValue(write.value().get()));
        write.lease().ifPresent(hold -> item.put("hold", hold.value()));
      }
    }
    return Json.write(node);
  }

  public static LeaseId parseLease(String body) throws MalformedMessageException {
    return new LeaseId(Json.count(Json.parseObject(body), "hold", 0, Long.MAX_VALUE));
  }

  public static KeyValue parseItem(String body) throws MalformedMessageException {
    return item(Json.parseObject(body));
  }

  public static Revision parseRevision(String body) throws MalformedMessageException {
    return revision(Json.parseObject(body), "epoch");
  }

  public static Range parseRange(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<KeyValue> items = new ArrayList<>();
    for (JsonNode row : node.path("rows")) {
      items.add(item(row));
    }
    return new Range(items, node.path("more").asBoolean(false), revision(node, "epoch"));
  }

  public static Changes parseChanges(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<Change> changes = new ArrayList<>();
    for (JsonNode event : node.path("news")) {
      boolean put = event.hasNonNull("set");
      changes.add(
          new Change(
              Json.text(event, put ? "set" : "delete"),
              put ? Optional.of(event.path("value")) : Optional.empty(),
              revision(event, "stamp")));
    }
    return new Changes(changes, revision(node, "epoch"));
  }

  private static KeyValue item(JsonNode node) throws MalformedMessageException {
    return new KeyValue(Json.text(node, "k"), node.path("value"), revision(node, "stamp"));
  }

  private static Revision revision(JsonNode node, String key) throws MalformedMessageException {
    return new Revision(Json.count(node, key, 0, Long.MAX_VALUE));
  }
}
