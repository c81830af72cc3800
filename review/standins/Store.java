import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the state service: one consistent copy with leases, watches and rate limits. */
final class Store {
  /** Decides how long answers to one node are held back; a negative time drops the answer. */
  interface Trouble {
    long delayMs(int node, String method, String path, String request, Http.Answer answer);
  }

  private record Entry(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Hold {
    long ttlMs;
    long endsAt;
  }

  private final Record record;
  private final double rps;
  private double writeRps;
  private int txnOps;
  private int valueBytes;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private long epoch = 1;
  private long lastHold;
  private double requests;
  private double writes;
  private long refilledAt = System.nanoTime();
  private volatile Trouble trouble = (node, method, path, request, answer) -> 0;

  Store(Record record, double rps, double writeRps, int txnOps, int valueBytes) {
    this.record = record;
    this.rps = rps;
    this.writeRps = writeRps;
    this.txnOps = txnOps;
    this.valueBytes = valueBytes;
    this.requests = rps;
    this.writes = writeRps;
    Thread expiry = new Thread(this::expire);
    expiry.setDaemon(true);
    expiry.start();
  }

  /** Lowers the limits from now on; what is stored stays readable. */
  synchronized void lower(double nextWriteRps, int nextTxnOps, int nextValueBytes) {
    writeRps = nextWriteRps;
    txnOps = nextTxnOps;
    valueBytes = nextValueBytes;
    record.line("state: limits are lower now");
  }

  void trouble(Trouble next) {
    trouble = next;
  }

  /** Handles a request of a node; each node has an address of its own. */
  Http.Answer handle(int node, String method, String path, String body) throws Exception {
    Http.Answer answer = serve(method, path, body);
    long made = now();
    long delay = trouble.delayMs(node, method, path, body, answer);
    if (delay < 0) {
      return Http.NONE;
    }
    if (delay > 0) {
      Http.sleep(delay);
      String text = path.startsWith("/changes") ? " told of changes up to " : " answered ";
      record.line(
          "state: stancia-" + node + text + answer.json().path("epoch").asText("-") + ", held for "
              + (now() - made) + " ms");
    }
    return answer;
  }

  synchronized JsonNode value(String key) {
    Entry entry = keys.get(key);
    return entry == null ? null : entry.value();
  }

  synchronized Map<String, JsonNode> values(String prefix) {
    Map<String, JsonNode> found = new LinkedHashMap<>();
    keys.tailMap(prefix).forEach((k, e) -> {
      if (k.startsWith(prefix)) {
        found.put(k, e.value());
      }
    });
    return found;
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - refilledAt) / 1e9;
    refilledAt = now;
    requests = Math.min(rps, requests + rps * seconds);
    writes = Math.min(writeRps, writes + writeRps * seconds);
  }

  private synchronized Http.Answer serve(String method, String path, String body)
      throws Exception {
    refill();
    if (requests < 1) {
      return new Http.Answer(429, "{}");
    }
    requests -= 1;
    if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Entry entry = keys.get(key);
      return entry == null
          ? new Http.Answer(404, "{\"epoch\":" + epoch + "}")
          : new Http.Answer(200, item(key, entry).toString());
    }
    if (path.startsWith("/keys?")) {
      return range(query(path));
    }
    if (path.equals("/commit")) {
      return commit(Http.JSON.readTree(body));
    }
    if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.ttlMs = Http.JSON.readTree(body).path("ttl_ms").asLong();
      hold.endsAt = now() + hold.ttlMs;
      holds.put(++lastHold, hold);
      return new Http.Answer(200, "{\"hold\":" + lastHold + "}");
    }
    if (path.startsWith("/holds/")) {
      long id = Long.parseLong(path.split("/")[2]);
      Hold hold = holds.get(id);
      if (hold == null) {
        return new Http.Answer(404, "{}");
      }
      if (method.equals("DELETE")) {
        endHold(id);
      } else {
        hold.endsAt = now() + hold.ttlMs;
      }
      return new Http.Answer(200, "{}");
    }
    if (path.startsWith("/changes")) {
      return changes(query(path));
    }
    return new Http.Answer(400, "{}");
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static Map<String, String> query(String path) {
    Map<String, String> found = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = part.indexOf('=');
      found.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return found;
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode node = Http.JSON.createObjectNode();
    node.put("k", key);
    node.set("value", entry.value());
    node.put("stamp", entry.stamp());
    if (entry.hold() > 0) {
      node.put("hold", entry.hold());
    }
    return node;
  }

  private Http.Answer range(Map<String, String> query) {
    String prefix = query.get("starts");
    String from = query.getOrDefault("from", "");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    ObjectNode node = Http.JSON.createObjectNode();
    ArrayNode rows = node.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, Entry> entry : keys.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(from) <= 0) {
        continue;
      }
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.add(item(entry.getKey(), entry.getValue()));
    }
    node.put("more", more);
    node.put("epoch", epoch);
    return new Http.Answer(200, node.toString());
  }

  private Http.Answer commit(JsonNode txn) {
    JsonNode list = txn.path("writes");
    if (list.size() > txnOps || txn.path("guards").size() > 4 * txnOps) {
      return new Http.Answer(400, "{\"error\":\"too many\"}");
    }
    for (JsonNode write : list) {
      if (write.path("value").toString().length() > valueBytes) {
        return new Http.Answer(400, "{\"error\":\"too long\"}");
      }
      if (write.has("hold") && !holds.containsKey(write.get("hold").asLong())) {
        return new Http.Answer(400, "{\"error\":\"no such lease\"}");
      }
    }
    if (writes < list.size()) {
      return new Http.Answer(429, "{}");
    }
    writes -= list.size();
    ArrayNode failed = Http.JSON.createArrayNode();
    for (JsonNode guard : txn.path("guards")) {
      Entry entry = keys.get(guard.path("k").asText());
      if ((entry == null ? 0 : entry.stamp()) != guard.path("stamp").asLong()) {
        failed.add(guard.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, "{\"failed\":" + failed + ",\"epoch\":" + epoch + "}");
    }
    if (!list.isEmpty()) {
      epoch++;
      for (JsonNode write : list) {
        if (write.has("set")) {
          set(write.get("set").asText(), write.path("value"), write.path("hold").asLong(0));
        } else {
          remove(write.path("delete").asText());
        }
      }
      notifyAll();
    }
    return new Http.Answer(200, "{\"epoch\":" + epoch + "}");
  }

  private void set(String key, JsonNode value, long hold) {
    keys.put(key, new Entry(value, epoch, hold));
    history.add(new Change(key, value, epoch));
    if (key.startsWith("c/g/") || key.equals("c/leader")) {
      record.line("state: stamp " + epoch + " " + key + " = " + value);
    } else if (key.startsWith("c/")) {
      record.line("state: stamp " + epoch + " " + key);
    }
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      history.add(new Change(key, null, epoch));
      if (key.startsWith("c/g/") || key.equals("c/leader")) {
        record.line("state: stamp " + epoch + " " + key + " removed");
      }
    }
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> ended = new ArrayList<>();
    keys.forEach((key, entry) -> {
      if (entry.hold() == id) {
        ended.add(key);
      }
    });
    if (!ended.isEmpty()) {
      epoch++;
      ended.forEach(this::remove);
      notifyAll();
    }
  }

  private void expire() {
    while (true) {
      Http.sleep(30);
      synchronized (this) {
        List<Long> ended = new ArrayList<>();
        holds.forEach((id, hold) -> {
          if (hold.endsAt <= now()) {
            ended.add(id);
          }
        });
        ended.forEach(this::endHold);
      }
    }
  }

  private Http.Answer changes(Map<String, String> query) throws InterruptedException {
    String prefix = query.get("starts");
    long from = Long.parseLong(query.get("from"));
    long until = now() + Long.parseLong(query.getOrDefault("hold_ms", "0"));
    while (true) {
      ObjectNode node = Http.JSON.createObjectNode();
      ArrayNode news = Http.JSON.createArrayNode();
      for (int i = history.size() - 1; i >= 0 && history.get(i).stamp() > from; i--) {
        Change change = history.get(i);
        if (change.key().startsWith(prefix)) {
          ObjectNode item = Http.JSON.createObjectNode();
          if (change.value() == null) {
            item.put("delete", change.key());
          } else {
            item.put("set", change.key());
            item.set("value", change.value());
          }
          item.put("stamp", change.stamp());
          news.insert(0, item);
        }
      }
      long left = until - now();
      if (!news.isEmpty() || left <= 0) {
        node.put("epoch", epoch);
        node.set("news", news);
        return new Http.Answer(200, node.toString());
      }
      wait(left);
    }
  }
}
