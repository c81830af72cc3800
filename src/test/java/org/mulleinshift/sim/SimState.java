package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** A stand-in for the state service. */
final class SimState {
  private record Entry(JsonNode value, long stamp, Long hold) {}

  private static final class Hold {
    private final double ttl;
    private double end;

    Hold(double ttl, double end) {
      this.ttl = ttl;
      this.end = end;
    }
  }

  private record Watch(
      String node,
      String prefix,
      long from,
      double end,
      boolean waits,
      Consumer<HttpResponse> reply) {}

  private static final int KEPT_CHANGES = 10_000;

  private static final Map<String, String> KINDS =
      Map.of(
          "c/g",
          "grant",
          "c/n",
          "node",
          "c/b",
          "block",
          "p",
          "delegation",
          "l",
          "delegation",
          "r",
          "rental",
          "t",
          "end");

  /** No answer to a share of the transactions of a kind, or of any kind. */
  private record Silence(double share, double until, String kind) {
    static final Silence NONE = new Silence(0, 0, "");

    boolean covers(World world, JsonNode body) {
      return world.seconds() < until
          && (kind.isEmpty() || kindsOf(body).contains(kind))
          && world.random() < share;
    }
  }

  private final World world;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, JsonNode> rewritten = new java.util.HashMap<>();
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<ObjectNode> changes = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<String, Double> refusedUntil = new HashMap<>();
  private final Map<String, Double> mutedUntil = new HashMap<>();
  private final Map<String, Double> watchesHeldUntil = new HashMap<>();
  private final Map<String, Double> newsHeldUntil = new HashMap<>();
  private Silence lateWrites = Silence.NONE;
  private Silence lostAnswers = Silence.NONE;
  private Runnable onTerm = () -> {};
  private int valueBytes;
  private int txnOps;
  private double outageUntil;
  private long epoch;
  private long nextHold = 1;
  private long forgottenChanges;
  private final Bucket requestBudget;
  private final Bucket writeBudget;
  private int writes;
  private int longestAnswer;
  private final List<Double> ledSince = new ArrayList<>();
  private final List<Double> granted = new ArrayList<>();
  private final List<Double> progressed = new ArrayList<>();
  private double lateUntil;
  private double lateBy;
  private int refused;
  private int unfit;

  /** A rate with one second's worth of burst. */
  private final class Bucket {
    private double rate;
    private double tokens;
    private double filledAt;

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(double amount) {
      tokens = Math.min(rate, tokens + rate * (world.seconds() - filledAt));
      filledAt = world.seconds();
      if (tokens < amount) {
        refused++;
        return false;
      }
      tokens -= amount;
      return true;
    }
  }

  SimState(World world, int valueBytes, int txnOps, double rate, double writeRate) {
    this.world = world;
    this.requestBudget = new Bucket(rate);
    this.writeBudget = new Bucket(writeRate);
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    world.after(0.05, this::expire);
  }

  void outage(double seconds) {
    outageUntil = world.seconds() + seconds;
    world.after(
        seconds, () -> holds.values().forEach(hold -> hold.end = world.seconds() + hold.ttl));
  }

  /** From now on the service takes less. What is stored stays readable. */
  void limits(int bytes, int ops, double rate, double writeRate) {
    valueBytes = bytes;
    txnOps = ops;
    requestBudget.rate = rate;
    writeBudget.rate = writeRate;
  }

  /** Requests refused for good, other than for a lease that is over. */
  int unfit() {
    return unfit;
  }

  void refuse(String node, double seconds) {
    refusedUntil.put(node, world.seconds() + seconds);
  }

  /** Requests of the node are carried out, but it hears no answer to changes. */
  void mute(String node, double seconds) {
    mutedUntil.put(node, world.seconds() + seconds);
  }

  /** What the node's open watches would bring is held back; all its other requests are answered. */
  void holdWatches(String node, double seconds) {
    watchesHeldUntil.put(node, world.seconds() + seconds);
  }

  /** All that would tell the node of changes is held back. */
  void holdNews(String node, double seconds) {
    holdWatches(node, seconds);
    newsHeldUntil.put(node, world.seconds() + seconds);
  }

  /** That share of transactions of a kind gets no answer and is carried out 2 to 12 s later. */
  void lateWrites(double share, double seconds, String kind) {
    lateWrites = new Silence(share, world.seconds() + seconds, kind);
  }

  /** That share of transactions of a kind is carried out at once, and only the answer is lost. */
  void lostAnswers(double share, double seconds, String kind) {
    lostAnswers = new Silence(share, world.seconds() + seconds, kind);
  }

  /** Hears of each term that begins. */
  void onTerm(Runnable listener) {
    onTerm = listener;
  }

  /** Whether another build has rewritten something of the job. */
  boolean isRewritten(String job) {
    return rewritten.keySet().stream().anyMatch(key -> List.of(key.split("/")).contains(job));
  }

  /** Whether the job's end is stored. */
  boolean isOver(String job) {
    return keys.containsKey("t/" + job);
  }

  /** What a transaction is for, by the keys that it writes. */
  private static Set<String> kindsOf(JsonNode body) {
    Set<String> kinds = new HashSet<>();
    boolean first = body.path("guards").findValuesAsText("k").stream().anyMatch(SimState::ended);
    for (JsonNode write : body.path("writes")) {
      String key = write.path(write.has("set") ? "set" : "delete").asText();
      if (key.startsWith("a/")) {
        kinds.add(write.has("delete") ? "end" : first ? "acceptance" : "cancellation");
      } else if (key.equals("c/leader")) {
        kinds.add("leader");
      } else if (KINDS.containsKey(key.replaceAll("^(c/.|.)/.*", "$1"))) {
        kinds.add(KINDS.get(key.replaceAll("^(c/.|.)/.*", "$1")));
      }
    }
    return kinds;
  }

  private static boolean ended(String key) {
    return key.startsWith("t/");
  }

  /** Forgets the history, so that open watches must read again. */
  void compact() {
    forgottenChanges = epoch;
    changes.clear();
  }

  /** Answers come so much later for a while. */
  void late(double by, double seconds) {
    lateBy = by;
    lateUntil = world.seconds() + seconds;
  }

  /** So many keys of nobody's come and go, each with a value of so many bytes. */
  void flood(String prefix, int count, int bytes) {
    for (int i = 0; i < count; i++) {
      ObjectNode set = json.createObjectNode();
      set.put("set", prefix + i);
      set.putObject("value").put("pad", "x".repeat(bytes));
      epoch++;
      apply(set);
      epoch++;
      remove(prefix + i);
    }
    wakeWatches();
  }

  /** Another build rewrites a key: a field of its value, with {@code /} between names, changes. */
  void rewrite(String key, String field, String value) {
    Entry old = keys.get(key);
    JsonNode before = rewritten.remove(key);
    JsonNode changed = value.equals("BACK") ? before : old.value().deepCopy();
    rewritten.putIfAbsent(key, old.value());
    if (!value.equals("BACK")) {
      int slash = field.lastIndexOf('/');
      JsonNode parent = slash < 0 ? changed : changed.at("/" + field.substring(0, slash));
      ((ObjectNode) parent).put(field.substring(slash + 1), value);
    }
    ObjectNode set = json.createObjectNode();
    set.put("set", key);
    set.set("value", changed);
    if (old.hold() != null) {
      set.put("hold", old.hold());
    }
    epoch++;
    apply(set);
    wakeWatches();
  }

  /** Characters of the longest answer to a reading of keys. */
  int longestAnswer() {
    return longestAnswer;
  }

  int writes() {
    return writes;
  }

  /** Requests above the rates. */
  int refused() {
    return refused;
  }

  Map<String, JsonNode> dump() {
    Map<String, JsonNode> copy = new LinkedHashMap<>();
    keys.forEach((key, entry) -> copy.put(key, entry.value()));
    return copy;
  }

  /** Who holds each block. */
  Map<String, String> owners() {
    Map<String, String> owners = new LinkedHashMap<>();
    keys.forEach(
        (key, entry) -> {
          if (key.startsWith("c/g/")) {
            owners.put(key, entry.value().path("holder").asText());
          }
        });
    return owners;
  }

  private boolean unavailable(String node) {
    return world.seconds() < outageUntil || world.seconds() < refusedUntil.getOrDefault(node, 0.0);
  }

  void handle(String node, HttpRequest request, Consumer<HttpResponse> answer) {
    Consumer<HttpResponse> reply =
        world.seconds() < lateUntil
            ? value -> world.after(lateBy, () -> answer.accept(value))
            : answer;
    if (unavailable(node)) {
      reply.accept(new HttpResponse(503, "{}"));
      return;
    }
    if (!requestBudget.take(1)) {
      reply.accept(new HttpResponse(429, "{}"));
      return;
    }
    if (request.path().startsWith("/changes")) {
      watch(node, request.path(), reply);
      return;
    }
    HttpResponse found;
    boolean lost = false;
    try {
      if (request.path().equals("/commit")) {
        JsonNode body = json.readTree(request.body().orElse("{}"));
        if (lateWrites.covers(world, body)) {
          world.after(2 + 10 * world.random(), () -> commit(body));
          return;
        }
        lost = lostAnswers.covers(world, body);
      }
      found = answer(request);
    } catch (IOException e) {
      found = new HttpResponse(400, "{}");
    }
    boolean muted =
        world.seconds() < mutedUntil.getOrDefault(node, 0.0) && request.path().equals("/commit");
    if (!muted && !lost) {
      reply.accept(found);
    }
  }

  private HttpResponse answer(HttpRequest request) throws IOException {
    String path = request.path();
    if (path.startsWith("/keys/")) {
      return get(path.substring("/keys/".length()));
    }
    if (path.startsWith("/keys?")) {
      return range(Query.of(path));
    }
    if (path.equals("/commit")) {
      return commit(json.readTree(request.body().orElse("{}")));
    }
    if (path.equals("/holds")) {
      double ttl = json.readTree(request.body().orElse("{}")).path("ttl_ms").asDouble() / 1000;
      holds.put(nextHold, new Hold(ttl, world.seconds() + ttl));
      return new HttpResponse(200, "{\"hold\":" + nextHold++ + "}");
    }
    if (path.startsWith("/holds/")) {
      return hold(request.method(), path.substring("/holds/".length()));
    }
    return new HttpResponse(404, "{}");
  }

  private HttpResponse get(String key) {
    Entry entry = keys.get(key);
    if (entry == null) {
      return new HttpResponse(404, "{\"epoch\":" + epoch + "}");
    }
    return new HttpResponse(200, item(key, entry).toString());
  }

  private ObjectNode item(String key, Entry entry) {
    ObjectNode node = json.createObjectNode();
    node.put("k", key);
    node.set("value", entry.value());
    node.put("stamp", entry.stamp());
    return node;
  }

  private HttpResponse range(Map<String, String> query) {
    String prefix = query.getOrDefault("starts", "");
    String from = query.getOrDefault("from", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
    ObjectNode node = json.createObjectNode();
    ArrayNode rows = node.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
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
    node.put("epoch", epoch);
    String text = node.toString();
    longestAnswer = Math.max(longestAnswer, text.length());
    return new HttpResponse(200, text);
  }

  private HttpResponse commit(JsonNode body) {
    JsonNode wanted = body.path("writes");
    if (wanted.size() > txnOps || body.path("guards").size() > 4 * txnOps) {
      unfit++;
      return new HttpResponse(400, "{\"error\":\"too many operations\"}");
    }
    for (JsonNode write : wanted) {
      if (write.path("value").toString().length() > valueBytes) {
        unfit++;
        return new HttpResponse(400, "{\"error\":\"value too long\"}");
      }
      if (write.has("hold") && !holds.containsKey(write.get("hold").asLong())) {
        return new HttpResponse(400, "{\"error\":\"no such lease\"}");
      }
    }
    if (!writeBudget.take(wanted.size())) {
      return new HttpResponse(429, "{}");
    }
    for (JsonNode guard : body.path("guards")) {
      Entry entry = keys.get(guard.path("k").asText());
      if ((entry == null ? 0 : entry.stamp()) != guard.path("stamp").asLong()) {
        return new HttpResponse(409, "{\"failed\":[],\"epoch\":" + epoch + "}");
      }
    }
    if (wanted.size() > 0) {
      epoch++;
      wanted.forEach(this::apply);
      wakeWatches();
    }
    return new HttpResponse(200, "{\"epoch\":" + epoch + "}");
  }

  private void apply(JsonNode write) {
    writes++;
    if (write.has("set")) {
      String key = write.get("set").asText();
      Long hold = write.has("hold") ? write.get("hold").asLong() : null;
      keys.put(key, new Entry(write.get("value"), epoch, hold));
      if (key.equals("c/leader")) {
        ledSince.add(world.seconds());
        onTerm.run();
      } else if (key.startsWith("c/g/")) {
        granted.add(world.seconds());
      } else if (key.startsWith("p/") || key.startsWith("l/")) {
        progressed.add(world.seconds());
      }
      ObjectNode change = json.createObjectNode();
      change.put("set", key);
      change.set("value", write.get("value"));
      change.put("stamp", epoch);
      changes.add(change);
    } else {
      remove(write.get("delete").asText());
    }
    while (changes.size() > KEPT_CHANGES) {
      forgottenChanges = changes.remove(0).get("stamp").asLong();
    }
  }

  /** Whether a term began within these times. */
  boolean ledBetween(double from, double to) {
    return ledSince.stream().anyMatch(at -> at >= from && at <= to);
  }

  double firstTermAfter(double time) {
    return firstAfter(ledSince, time);
  }

  /** When a job's progress was stored first after that time. */
  double firstProgressAfter(double time) {
    return firstAfter(progressed, time);
  }

  private static double firstAfter(List<Double> times, double time) {
    return times.stream().filter(at -> at >= time).findFirst().orElse(Double.MAX_VALUE);
  }

  /** How many blocks were granted after that time. */
  long grantedAfter(double time) {
    return granted.stream().filter(at -> at > time).count();
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      ObjectNode change = json.createObjectNode();
      change.put("delete", key);
      change.put("stamp", epoch);
      changes.add(change);
    }
  }

  private HttpResponse hold(String method, String rest) {
    long id = Long.parseLong(rest.split("/", 0)[0]);
    Hold hold = holds.get(id);
    if (hold == null) {
      return new HttpResponse(404, "{}");
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      hold.end = world.seconds() + hold.ttl;
    }
    return new HttpResponse(200, "{}");
  }

  private void end(long id) {
    holds.remove(id);
    List<String> gone = new ArrayList<>();
    keys.forEach(
        (key, entry) -> {
          if (entry.hold() != null && entry.hold() == id) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      epoch++;
      gone.forEach(this::remove);
      wakeWatches();
    }
  }

  private void expire() {
    world.after(0.05, this::expire);
    if (world.seconds() < outageUntil) {
      return;
    }
    Set<Long> over = new HashSet<>();
    holds.forEach(
        (id, hold) -> {
          if (hold.end < world.seconds()) {
            over.add(id);
          }
        });
    over.forEach(this::end);
    wakeWatches();
  }

  private void watch(String node, String path, Consumer<HttpResponse> reply) {
    Map<String, String> query = Query.of(path);
    long from = Long.parseLong(query.get("from"));
    if (from < forgottenChanges) {
      reply.accept(new HttpResponse(410, "{}"));
      return;
    }
    double wait = Double.parseDouble(query.getOrDefault("hold_ms", "0")) / 1000;
    watches.add(
        new Watch(node, query.get("starts"), from, world.seconds() + wait, wait > 0, reply));
    wakeWatches();
  }

  private void wakeWatches() {
    List<Watch> ready = new ArrayList<>();
    for (Watch watch : watches) {
      boolean due = world.seconds() >= watch.end() || !news(watch).isEmpty();
      Map<String, Double> heldUntil = watch.waits() ? watchesHeldUntil : newsHeldUntil;
      boolean held = world.seconds() < heldUntil.getOrDefault(watch.node(), 0.0);
      if (due && !held && !unavailable(watch.node())) {
        ready.add(watch);
      }
    }
    watches.removeAll(ready);
    for (Watch watch : ready) {
      ObjectNode node = json.createObjectNode();
      node.put("epoch", epoch);
      node.putArray("news").addAll(news(watch));
      watch.reply().accept(HttpResponse.bounded(200, node.toString()));
    }
  }

  private List<ObjectNode> news(Watch watch) {
    List<ObjectNode> found = new ArrayList<>();
    for (int i = changes.size() - 1; i >= 0; i--) {
      ObjectNode change = changes.get(i);
      if (change.get("stamp").asLong() <= watch.from()) {
        break;
      }
      String key = (change.has("set") ? change.get("set") : change.get("delete")).asText();
      if (key.startsWith(watch.prefix())) {
        found.add(0, change);
      }
    }
    return found;
  }
}
