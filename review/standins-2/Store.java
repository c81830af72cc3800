import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service. Each node has a port of its own, so that one of them can be treated apart. */
final class Store implements AutoCloseable {
  record Entry(Object value, long stamp, long hold) {}

  private record Change(long stamp, String key, Object value, boolean deleted) {}

  private static final class Hold {
    long ttlMillis;
    long endsAt;
    final Set<String> keys = new HashSet<>();
  }

  /** Decides how long an answer takes beyond the usual few milliseconds. */
  interface Latency {
    long extraMillis(int node, Http.Request request);
  }

  /** What becomes of the answer to a request that was carried out. */
  interface Fate {
    /** Returns false if the connection is to be closed without an answer. */
    boolean answered(int node, Http.Request request, Http.Answer answer);
  }

  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_ITEMS = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;

  private final Record record;
  private final List<Http.Server> servers = new ArrayList<>();
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long epoch = 1;
  private long lastHold;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();
  private boolean closed;

  volatile double rps;
  volatile double writeRps;
  volatile double valueKb;
  volatile int txnOps;
  volatile Latency latency = (node, request) -> 0;
  volatile Fate fate = (node, request, answer) -> true;

  /** Chooses transactions that are not carried out now and get no answer. */
  interface Loss {
    boolean lost(int node, Http.Request request);
  }

  volatile Loss late = (node, request) -> false;

  /** Nodes that get 503 although others are served. */
  final boolean[] refused;

  /** The service is out for all. */
  private volatile boolean outage;

  Store(Record record, int nodes, double rps, double writeRps, double valueKb, int txnOps)
      throws IOException {
    this.record = record;
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.refused = new boolean[nodes];
    for (int i = 0; i < nodes; i++) {
      int node = i;
      servers.add(new Http.Server(request -> serve(node, request)));
    }
    Thread thread = new Thread(this::expire, "holds");
    thread.setDaemon(true);
    thread.start();
  }

  int port(int node) {
    return servers.get(node).port();
  }

  synchronized Entry get(String key) {
    return entries.get(key);
  }

  synchronized List<String> keys(String prefix) {
    List<String> keys = new ArrayList<>();
    for (String key : entries.tailMap(prefix, true).keySet()) {
      if (!key.startsWith(prefix)) {
        break;
      }
      keys.add(key);
    }
    return keys;
  }

  /** Begins or ends an outage for all; holds get their full time again at its end. */
  synchronized void setOutage(boolean out) {
    outage = out;
    if (!out) {
      long now = System.nanoTime();
      holds.values().forEach(hold -> hold.endsAt = now + hold.ttlMillis * 1_000_000);
    }
    notifyAll();
  }

  synchronized void setRefused(int node, boolean out) {
    refused[node] = out;
    notifyAll();
  }

  private void expire() {
    while (!closed) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        if (outage) {
          continue;
        }
        long now = System.nanoTime();
        for (Long id : List.copyOf(holds.keySet())) {
          if (holds.get(id).endsAt < now) {
            end(id);
          }
        }
      }
    }
  }

  private void end(long id) {
    Hold hold = holds.remove(id);
    if (hold.keys.isEmpty()) {
      return;
    }
    epoch++;
    for (String key : hold.keys) {
      entries.remove(key);
      change(new Change(epoch, key, null, true));
    }
    notifyAll();
  }

  private void change(Change change) {
    changes.add(change);
    while (changes.size() > KEPT_CHANGES) {
      changes.poll();
    }
  }

  /** Carries out a transaction that came earlier. */
  synchronized Http.Answer execute(String body) {
    return commit(body);
  }

  private Http.Answer serve(int node, Http.Request request) throws Exception {
    if (late.lost(node, request)) {
      Thread.sleep(8000);
      return null;
    }
    Http.Answer answer = answer(node, request);
    long extra = latency.extraMillis(node, request);
    if (extra > 0) {
      Thread.sleep(extra);
    }
    if (!fate.answered(node, request, answer)) {
      Thread.sleep(8000);
      return null;
    }
    return answer;
  }

  private boolean out(int node) {
    return outage || refused[node];
  }

  private Http.Answer answer(int node, Http.Request request) throws Exception {
    if (request.path().equals("/changes") && request.method().equals("GET")) {
      return watch(node, request);
    }
    Thread.sleep(1);
    synchronized (this) {
      if (out(node)) {
        return new Http.Answer(503, "{\"error\":\"trouble\"}");
      }
      if (!takeRequest()) {
        return new Http.Answer(429, "{\"error\":\"rate\"}");
      }
      String path = request.path();
      if (path.equals("/commit")) {
        return commit(request.body());
      } else if (path.equals("/keys")) {
        return range(request.query());
      } else if (path.startsWith("/keys/")) {
        Entry entry = entries.get(path.substring(6));
        if (entry == null) {
          return new Http.Answer(404, "{\"epoch\":" + epoch + "}");
        }
        Map<String, Object> item = item(path.substring(6), entry);
        if (entry.hold() > 0) {
          item.put("hold", entry.hold());
        }
        return new Http.Answer(200, Json.write(item));
      } else if (path.equals("/holds")) {
        Hold hold = new Hold();
        hold.ttlMillis = ((Number) Json.object(request.body()).get("ttl_ms")).longValue();
        hold.endsAt = System.nanoTime() + hold.ttlMillis * 1_000_000;
        holds.put(++lastHold, hold);
        return new Http.Answer(200, "{\"hold\":" + lastHold + "}");
      } else if (path.startsWith("/holds/")) {
        String rest = path.substring(7);
        boolean renew = rest.endsWith("/renew");
        long id = Long.parseLong(renew ? rest.substring(0, rest.length() - 6) : rest);
        Hold hold = holds.get(id);
        if (hold == null) {
          return new Http.Answer(404, "{\"error\":\"no such lease\"}");
        }
        if (renew) {
          hold.endsAt = System.nanoTime() + hold.ttlMillis * 1_000_000;
        } else {
          end(id);
        }
        return new Http.Answer(200, "{}");
      }
      return new Http.Answer(400, "{\"error\":\"malformed\"}");
    }
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - refilledAt) / 1e9;
    refilledAt = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
  }

  private boolean takeRequest() {
    refill();
    if (requestTokens < 1) {
      return false;
    }
    requestTokens--;
    return true;
  }

  private static Map<String, Object> item(String key, Entry entry) {
    return Json.map("k", key, "value", entry.value(), "stamp", entry.stamp());
  }

  private Http.Answer range(Map<String, String> query) {
    String prefix = query.getOrDefault("starts", "");
    String from = query.get("from");
    int limit = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("limit", "1000")));
    StringBuilder rows = new StringBuilder();
    int count = 0;
    boolean more = false;
    Map<String, Entry> tail =
        from == null || from.compareTo(prefix) < 0
            ? entries.tailMap(prefix, true)
            : entries.tailMap(from, false);
    for (Map.Entry<String, Entry> entry : tail.entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      String row = Json.write(item(entry.getKey(), entry.getValue()));
      if (count == limit || rows.length() + row.length() > MAX_PAGE_BYTES - 1000) {
        more = true;
        break;
      }
      rows.append(count == 0 ? "" : ",").append(row);
      count++;
    }
    return new Http.Answer(
        200, "{\"rows\":[" + rows + "],\"more\":" + more + ",\"epoch\":" + epoch + "}");
  }

  private Http.Answer commit(String body) {
    Map<String, Object> transaction = Json.object(body);
    List<Map<String, Object>> guards = Json.objects(transaction.get("guards"));
    List<Map<String, Object>> writes = Json.objects(transaction.get("writes"));
    if (body.length() > 65_536 || writes.size() > txnOps || guards.size() > 4 * txnOps) {
      return new Http.Answer(400, "{\"error\":\"too large\"}");
    }
    refill();
    if (writes.size() > 0) {
      if (writeTokens < writes.size()) {
        return new Http.Answer(429, "{\"error\":\"rate\"}");
      }
      writeTokens -= writes.size();
    }
    for (Map<String, Object> write : writes) {
      if (write.containsKey("set") && Json.write(write.get("value")).length() > valueKb * 1024) {
        return new Http.Answer(400, "{\"error\":\"value too large\"}");
      }
      if (write.get("hold") != null && !holds.containsKey(((Number) write.get("hold")).longValue())) {
        return new Http.Answer(400, "{\"error\":\"no such lease\"}");
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> guard : guards) {
      Entry entry = entries.get((String) guard.get("k"));
      long stamp = entry == null ? 0 : entry.stamp();
      if (stamp != ((Number) guard.get("stamp")).longValue()) {
        failed.add((String) guard.get("k"));
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, Json.write(Json.map("failed", failed, "epoch", epoch)));
    }
    if (!writes.isEmpty()) {
      epoch++;
      for (Map<String, Object> write : writes) {
        if (write.containsKey("set")) {
          String key = (String) write.get("set");
          detach(key);
          long hold = write.get("hold") == null ? 0 : ((Number) write.get("hold")).longValue();
          if (hold > 0) {
            holds.get(hold).keys.add(key);
          }
          entries.put(key, new Entry(write.get("value"), epoch, hold));
          change(new Change(epoch, key, write.get("value"), false));
          log(key, write.get("value"));
        } else {
          String key = (String) write.get("delete");
          detach(key);
          if (entries.remove(key) != null) {
            change(new Change(epoch, key, null, true));
            log(key, null);
          }
        }
      }
      notifyAll();
    }
    return new Http.Answer(200, "{\"epoch\":" + epoch + "}");
  }

  /** Records changes of jobs and of the leader. */
  private void log(String key, Object value) {
    if (key.startsWith("t/") || key.equals("c/leader") || key.startsWith("c/g/")) {
      record.add("state: %s = %s", key, value == null ? "deleted" : Json.write(value));
    }
  }

  private void detach(String key) {
    Entry entry = entries.get(key);
    if (entry != null && entry.hold() > 0 && holds.containsKey(entry.hold())) {
      holds.get(entry.hold()).keys.remove(key);
    }
  }

  private Http.Answer watch(int node, Http.Request request) throws InterruptedException {
    String prefix = request.query().getOrDefault("starts", "");
    long from = Long.parseLong(request.query().getOrDefault("from", "0"));
    long until =
        System.nanoTime()
            + Long.parseLong(request.query().getOrDefault("hold_ms", "0")) * 1_000_000;
    Thread.sleep(1);
    synchronized (this) {
      if (out(node)) {
        return new Http.Answer(503, "{\"error\":\"trouble\"}");
      }
      if (!takeRequest()) {
        return new Http.Answer(429, "{\"error\":\"rate\"}");
      }
      while (true) {
        if (!out(node)) {
          if (changes.size() >= KEPT_CHANGES && changes.peek().stamp() > from + 1) {
            return new Http.Answer(410, "{\"error\":\"gone\"}");
          }
          List<Object> news = new ArrayList<>();
          for (Change change : changes) {
            if (change.stamp() > from && change.key().startsWith(prefix)) {
              news.add(
                  change.deleted()
                      ? Json.map("delete", change.key(), "stamp", change.stamp())
                      : Json.map("set", change.key(), "value", change.value(), "stamp", change.stamp()));
            }
          }
          long left = (until - System.nanoTime()) / 1_000_000;
          if (!news.isEmpty() || left <= 0) {
            return new Http.Answer(200, Json.write(Json.map("epoch", epoch, "news", news)));
          }
          wait(left);
        } else {
          wait(100);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    for (Http.Server server : servers) {
      server.close();
    }
  }
}
