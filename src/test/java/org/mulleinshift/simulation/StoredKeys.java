package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The keys of the simulated store with values and revisions, and their latest changes. */
final class StoredKeys {
  /** A value, the revision that wrote it, and the lease that it is bound to, or null. */
  record Entry(JsonNode value, long revision, Long lease) {}

  private static final int MAX_CHANGES = 10_000;
  private static final String DEFAULT_PAGE_SIZE = "1000";

  private final ObjectMapper json = new ObjectMapper();
  private final StoreHistory history;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<ObjectNode> changes = new ArrayList<>();
  private long revision;
  private long compactedRevision;

  StoredKeys(StoreHistory history) {
    this.history = history;
  }

  long revision() {
    return revision;
  }

  /** The revision up to which changes can no longer be read. */
  long compactedRevision() {
    return compactedRevision;
  }

  /** Begins a new revision; the writes that follow belong to it. */
  void nextRevision() {
    revision++;
  }

  Entry find(String key) {
    return entries.get(key);
  }

  boolean contains(String key) {
    return entries.containsKey(key);
  }

  Map<String, JsonNode> values() {
    Map<String, JsonNode> copy = new LinkedHashMap<>();
    entries.forEach((key, entry) -> copy.put(key, entry.value()));
    return copy;
  }

  List<String> boundTo(long lease) {
    List<String> bound = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease() != null && entry.lease() == lease) {
            bound.add(key);
          }
        });
    return bound;
  }

  ObjectNode item(String key, Entry entry) {
    ObjectNode node = json.createObjectNode();
    node.put("k", key);
    node.set("value", entry.value());
    node.put("stamp", entry.revision());
    return node;
  }

  /** Reads a page of the keys with a prefix, in the format of the store's response. */
  ObjectNode range(Map<String, String> query) {
    String prefix = query.getOrDefault("starts", "");
    String from = query.getOrDefault("from", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", DEFAULT_PAGE_SIZE));
    ObjectNode node = json.createObjectNode();
    ArrayNode rows = node.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(from) > 0) {
        if (rows.size() == limit) {
          more = true;
          break;
        }
        rows.add(item(entry.getKey(), entry.getValue()));
      }
    }
    node.put("more", more);
    node.put("epoch", revision);
    return node;
  }

  /** Applies one write of a transaction. */
  void apply(JsonNode write) {
    history.countWrite();
    if (write.has("set")) {
      set(write);
    } else {
      remove(write.get("delete").asText());
    }
    while (changes.size() > MAX_CHANGES) {
      compactedRevision = changes.remove(0).get("stamp").asLong();
    }
  }

  private void set(JsonNode write) {
    String key = write.get("set").asText();
    Long lease = write.has("hold") ? write.get("hold").asLong() : null;
    entries.put(key, new Entry(write.get("value"), revision, lease));
    history.recordSet(key);
    ObjectNode change = json.createObjectNode();
    change.put("set", key);
    change.set("value", write.get("value"));
    change.put("stamp", revision);
    changes.add(change);
  }

  void remove(String key) {
    if (entries.remove(key) != null) {
      ObjectNode change = json.createObjectNode();
      change.put("delete", key);
      change.put("stamp", revision);
      changes.add(change);
    }
  }

  /** Drops all changes, so that watches have to read all keys again. */
  void compact() {
    compactedRevision = revision;
    changes.clear();
  }

  /** The changes of keys with a prefix after a revision, the oldest first. */
  List<ObjectNode> changesAfter(long fromRevision, String prefix) {
    List<ObjectNode> found = new ArrayList<>();
    for (int i = changes.size() - 1; i >= 0; i--) {
      ObjectNode change = changes.get(i);
      if (change.get("stamp").asLong() <= fromRevision) {
        break;
      }
      String key = (change.has("set") ? change.get("set") : change.get("delete")).asText();
      if (key.startsWith(prefix)) {
        found.add(0, change);
      }
    }
    return found;
  }
}
