package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/**
 * Simulates a replicated key-value store as one consistent copy, with rate and size limits, leases,
 * watches and injected faults.
 */
public final class SimulatedStore {
  private static final double EXPIRY_INTERVAL_SECONDS = 0.05;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final int GUARDS_PER_OPERATION = 4;
  private static final String RESTORE_ORIGINAL = "BACK";
  private static final HttpResponse NOT_FOUND = new HttpResponse(HttpStatus.NOT_FOUND, "{}");
  private static final HttpResponse TOO_MANY_REQUESTS =
      new HttpResponse(HttpStatus.TOO_MANY_REQUESTS, "{}");
  private static final HttpResponse UNAVAILABLE = new HttpResponse(HttpStatus.UNAVAILABLE, "{}");

  private final Timeline timeline;
  private final ObjectMapper json = new ObjectMapper();
  private final StoreHistory history;
  private final StoreFaults faults;
  private final StoredKeys keys;
  private final StoreWatches watches;
  private final StoreLeases leases;
  private final Map<String, JsonNode> rewritten = new HashMap<>();
  private final TokenBucket requestBudget;
  private final TokenBucket writeBudget;
  private PlatformSettings.StoreLimits limits;
  private int longestPageChars;
  private int rateLimitedCount;
  private int rejectedTransactionCount;

  /** Creates an empty store. */
  public SimulatedStore(Timeline timeline, PlatformSettings.StoreLimits limits) {
    this.timeline = timeline;
    this.limits = limits;
    this.requestBudget = new TokenBucket(timeline, limits.requestsPerSecond());
    this.writeBudget = new TokenBucket(timeline, limits.writesPerSecond());
    this.history = new StoreHistory(timeline);
    this.faults = new StoreFaults(timeline);
    this.keys = new StoredKeys(history);
    this.watches = new StoreWatches(timeline, keys, faults);
    this.leases = new StoreLeases(timeline, keys, watches);
    timeline.after(EXPIRY_INTERVAL_SECONDS, this::expire);
  }

  /** When leaders' terms, grants and progress were written. */
  public StoreHistory history() {
    return history;
  }

  /** Faults of single controllers' connections and of transactions. */
  public StoreFaults faults() {
    return faults;
  }

  /**
   * Rejects all requests for {@code seconds}; afterwards every lease restarts with its full time to
   * live.
   */
  public void outage(double seconds) {
    faults.outage(seconds);
    timeline.after(seconds, leases::renewAll);
  }

  /** Replaces the limits. Stored values that exceed the new limits stay readable. */
  public void limits(PlatformSettings.StoreLimits next) {
    limits = next;
    requestBudget.ratePerSecond(next.requestsPerSecond());
    writeBudget.ratePerSecond(next.writesPerSecond());
  }

  /** Compacts the change history, so that open watches have to read all keys again. */
  public void compact() {
    keys.compact();
  }

  /**
   * Sets and deletes {@code count} keys that no controller knows, each with a value padded by
   * {@code bytes} characters.
   */
  public void flood(String prefix, int count, int bytes) {
    for (int i = 0; i < count; i++) {
      ObjectNode set = json.createObjectNode();
      set.put("set", prefix + i);
      set.putObject("value").put("pad", "x".repeat(bytes));
      keys.nextRevision();
      keys.apply(set);
      keys.nextRevision();
      keys.remove(prefix + i);
    }
    watches.respondToReady();
  }

  /**
   * Changes a field of a key's value, as a different version of the controller might.
   *
   * @param field path of the field, with {@code /} between names
   * @param value new text; {@code BACK} restores the key's value from before the previous call
   */
  public void rewrite(String key, String field, String value) {
    StoredKeys.Entry old = keys.find(key);
    JsonNode before = rewritten.remove(key);
    JsonNode changed = value.equals(RESTORE_ORIGINAL) ? before : old.value().deepCopy();
    rewritten.putIfAbsent(key, old.value());
    if (!value.equals(RESTORE_ORIGINAL)) {
      int slash = field.lastIndexOf('/');
      JsonNode parent = slash < 0 ? changed : changed.at("/" + field.substring(0, slash));
      ((ObjectNode) parent).put(field.substring(slash + 1), value);
    }
    ObjectNode set = json.createObjectNode();
    set.put("set", key);
    set.set("value", changed);
    if (old.lease() != null) {
      set.put("hold", old.lease());
    }
    keys.nextRevision();
    keys.apply(set);
    watches.respondToReady();
  }

  /**
   * Whether {@link #rewrite} was called for a key that contains the job's id, even if undone since.
   */
  public boolean isRewritten(String job) {
    return rewritten.keySet().stream().anyMatch(key -> List.of(key.split("/")).contains(job));
  }

  /** Whether the store has a record of the job's end. */
  public boolean isEnded(String job) {
    return keys.contains("t/" + job);
  }

  /** All keys with their values. */
  public Map<String, JsonNode> values() {
    return keys.values();
  }

  /** The label of each shard's owner, by the key of the shard's grant. */
  public Map<String, String> owners() {
    Map<String, String> owners = new LinkedHashMap<>();
    values()
        .forEach(
            (key, value) -> {
              if (key.startsWith(StoreHistory.GRANT_PREFIX)) {
                owners.put(key, value.path("holder").asText());
              }
            });
    return owners;
  }

  /** Length of the longest response to a range read, in characters. */
  public int longestPageChars() {
    return longestPageChars;
  }

  /** How many requests and transactions were rejected because of the rate limits. */
  public int rateLimitedCount() {
    return rateLimitedCount;
  }

  /**
   * How many transactions were rejected because they exceed the size limits; a retry cannot
   * succeed.
   */
  public int rejectedTransactionCount() {
    return rejectedTransactionCount;
  }

  private boolean withinRate(TokenBucket budget, double amount) {
    boolean within = budget.tryTake(amount);
    rateLimitedCount += within ? 0 : 1;
    return within;
  }

  /** Handles a request of a controller. */
  public void handle(String controller, HttpRequest request, Consumer<HttpResponse> answer) {
    Consumer<HttpResponse> reply = faults.slowed(answer);
    if (faults.unavailableTo(controller)) {
      reply.accept(UNAVAILABLE);
    } else if (!withinRate(requestBudget, 1)) {
      reply.accept(TOO_MANY_REQUESTS);
    } else if (request.path().startsWith("/changes")) {
      watches.open(controller, request.path(), reply);
    } else {
      serve(controller, request, reply);
    }
  }

  private void serve(String controller, HttpRequest request, Consumer<HttpResponse> reply) {
    try {
      if (request.path().equals("/commit")) {
        serveTransaction(controller, body(request), reply);
      } else if (request.path().startsWith("/keys?")) {
        Map<String, String> query = QueryParameters.of(request.path());
        faults.deliverRange(query.get("starts"), range(query), reply);
      } else {
        reply.accept(answer(request));
      }
    } catch (IOException e) {
      reply.accept(new HttpResponse(HttpStatus.BAD_REQUEST, "{}"));
    }
  }

  private void serveTransaction(
      String controller, JsonNode transaction, Consumer<HttpResponse> reply) {
    if (faults.delaysTransaction(transaction)) {
      timeline.after(faults.drawDelaySeconds(), () -> commit(transaction));
      return;
    }
    boolean lost = faults.losesResponse(transaction);
    HttpResponse response = commit(transaction);
    if (!lost && !faults.losesTransactionResponses(controller)) {
      reply.accept(response);
    }
  }

  private JsonNode body(HttpRequest request) throws IOException {
    return json.readTree(request.body().orElse("{}"));
  }

  private HttpResponse answer(HttpRequest request) throws IOException {
    String path = request.path();
    if (path.startsWith("/keys/")) {
      return get(path.substring("/keys/".length()));
    }
    if (path.equals("/holds")) {
      double ttlSeconds = body(request).path("ttl_ms").asDouble() / MILLIS_PER_SECOND;
      return new HttpResponse(HttpStatus.OK, "{\"hold\":" + leases.grant(ttlSeconds) + "}");
    }
    if (path.startsWith("/holds/")) {
      return renewOrEnd(request.method(), path.substring("/holds/".length()));
    }
    return NOT_FOUND;
  }

  private HttpResponse get(String key) {
    StoredKeys.Entry entry = keys.find(key);
    if (entry == null) {
      return new HttpResponse(HttpStatus.NOT_FOUND, "{\"epoch\":" + keys.revision() + "}");
    }
    return new HttpResponse(HttpStatus.OK, keys.item(key, entry).toString());
  }

  private HttpResponse range(Map<String, String> query) {
    String text = keys.range(query).toString();
    longestPageChars = Math.max(longestPageChars, text.length());
    return new HttpResponse(HttpStatus.OK, text);
  }

  private HttpResponse renewOrEnd(String method, String rest) {
    long id = Long.parseLong(rest.split("/", 0)[0]);
    if (!leases.exists(id)) {
      return NOT_FOUND;
    }
    if (method.equals("DELETE")) {
      leases.end(id);
    } else {
      leases.renew(id);
    }
    return new HttpResponse(HttpStatus.OK, "{}");
  }

  /** Commits a transaction if it is within the limits and all of its guards hold. */
  private HttpResponse commit(JsonNode transaction) {
    JsonNode writes = transaction.path("writes");
    String error = errorIn(transaction);
    if (error != null) {
      return new HttpResponse(HttpStatus.BAD_REQUEST, "{\"error\":\"" + error + "\"}");
    }
    if (!withinRate(writeBudget, writes.size())) {
      return TOO_MANY_REQUESTS;
    }
    if (!guardsHold(transaction)) {
      return new HttpResponse(
          HttpStatus.CONFLICT, "{\"failed\":[],\"epoch\":" + keys.revision() + "}");
    }
    if (writes.size() > 0) {
      keys.nextRevision();
      writes.forEach(keys::apply);
      watches.respondToReady();
    }
    return new HttpResponse(HttpStatus.OK, "{\"epoch\":" + keys.revision() + "}");
  }

  private String errorIn(JsonNode transaction) {
    JsonNode writes = transaction.path("writes");
    int maxOperations = limits.maxTransactionOperations();
    if (writes.size() > maxOperations
        || transaction.path("guards").size() > GUARDS_PER_OPERATION * maxOperations) {
      rejectedTransactionCount++;
      return "too many operations";
    }
    for (JsonNode write : writes) {
      if (write.path("value").toString().length() > limits.maxValueBytes()) {
        rejectedTransactionCount++;
        return "value too long";
      }
      if (write.has("hold") && !leases.exists(write.get("hold").asLong())) {
        return "no such lease";
      }
    }
    return null;
  }

  private boolean guardsHold(JsonNode transaction) {
    for (JsonNode guard : transaction.path("guards")) {
      StoredKeys.Entry entry = keys.find(guard.path("k").asText());
      long revision = entry == null ? 0 : entry.revision();
      if (revision != guard.path("stamp").asLong()) {
        return false;
      }
    }
    return true;
  }

  private void expire() {
    timeline.after(EXPIRY_INTERVAL_SECONDS, this::expire);
    if (!faults.inOutage()) {
      leases.endExpired();
      watches.respondToReady();
    }
  }
}
