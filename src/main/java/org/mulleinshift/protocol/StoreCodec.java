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

/** Writes the requests to the key-value store and parses its responses. */
public final class StoreCodec {
  /** Path of transactions. */
  public static final String COMMIT_PATH = "/commit";

  /** Path of lease requests; the path of a lease appends a slash and its id. */
  public static final String LEASES_PATH = "/holds";

  /** Maximum number of keys on one page, so that their values fit into a response. */
  public static final int MAX_KEYS_PER_PAGE = 250;

  /** A key with its value and the revision of its last change. */
  public record KeyValue(String key, JsonNode value, Revision revision) {}

  /**
   * One page of keys.
   *
   * @param more whether there are further pages
   * @param revision revision of the store when the page was read
   */
  public record Range(List<KeyValue> items, boolean more, Revision revision) {
    /** The key after which the next page starts; empty if this is the last page. */
    public Optional<String> nextPageAfter() {
      return more && !items.isEmpty()
          ? Optional.of(items.get(items.size() - 1).key())
          : Optional.empty();
    }
  }

  /**
   * A change of a key that a watch returned.
   *
   * @param value the new value; empty: the key was deleted
   * @param revision revision of the change
   */
  public record Change(String key, Optional<JsonNode> value, Revision revision) {}

  /**
   * The changes that a watch returned.
   *
   * @param revision the revision up to which the changes are complete
   */
  public record Changes(List<Change> changes, Revision revision) {}

  /** A condition: the key was last changed at this revision; 0: the key does not exist. */
  public record Compare(String key, Revision revision) {}

  /**
   * A put or a delete of a key.
   *
   * @param value JSON text, encoded only once; empty: the key is deleted
   * @param lease the lease that the key is attached to, if any
   */
  public record Write(String key, Optional<String> value, Optional<LeaseId> lease) {
    /** Returns a put of a key that is not attached to a lease. */
    public static Write put(String key, JsonNode value) {
      return new Write(key, Optional.of(Json.write(value)), Optional.empty());
    }

    /** Returns a put of a key that the store deletes when the lease ends. */
    public static Write put(String key, JsonNode value, LeaseId lease) {
      return new Write(key, Optional.of(Json.write(value)), Optional.of(lease));
    }

    /** The length in bytes that the store compares with its limit for values; 0 for a delete. */
    public int valueBytes() {
      return value.map(text -> StoreCodec.encodedLength(text)).orElse(0);
    }

    /** Returns a delete of a key. */
    public static Write delete(String key) {
      return new Write(key, Optional.empty(), Optional.empty());
    }
  }

  private StoreCodec() {}

  /** The length of a value's JSON text in UTF-8 bytes, as the store counts it. */
  public static int encodedLength(JsonNode value) {
    return encodedLength(Json.write(value));
  }

  /** The length of a text in UTF-8 bytes, as the store counts it. */
  public static int encodedLength(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Returns the path that reads one key. */
  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  /**
   * Returns the path that reads a page of the keys with a prefix.
   *
   * @param after the last key of the previous page; empty: the first page
   */
  public static String rangePath(String prefix, Optional<String> after) {
    return "/keys?starts="
        + prefix
        + after.map(key -> "&from=" + key).orElse("")
        + "&limit="
        + MAX_KEYS_PER_PAGE;
  }

  /**
   * Returns the path of a watch of the keys with a prefix.
   *
   * @param after the revision after which changes are returned
   * @param wait maximum time that the store waits for a change
   */
  public static String watchPath(String prefix, Revision after, Duration wait) {
    return "/changes?starts=" + prefix + "&from=" + after + "&hold_ms=" + wait.toMillis();
  }

  /** Returns the path that renews a lease. */
  public static String renewLeasePath(LeaseId lease) {
    return LEASES_PATH + "/" + lease + "/renew";
  }

  /** Returns the path of a lease; deleting it ends the lease. */
  public static String leasePath(LeaseId lease) {
    return LEASES_PATH + "/" + lease;
  }

  /** Writes a request for a lease with this time to live. */
  public static String writeLeaseRequest(Duration ttl) {
    return Json.write(Json.object().put(WireNames.TTL_MILLIS, ttl.toMillis()));
  }

  /** Writes a transaction: all writes are applied if all conditions hold, otherwise none. */
  public static String writeTransaction(List<Compare> compares, List<Write> writes) {
    ObjectNode node = Json.object();
    ArrayNode compareItems = node.putArray(WireNames.COMPARES);
    for (Compare compare : compares) {
      compareItems
          .addObject()
          .put(WireNames.KEY, compare.key())
          .put(WireNames.KEY_REVISION, compare.revision().value());
    }
    ArrayNode writeItems = node.putArray(WireNames.WRITES);
    for (Write write : writes) {
      ObjectNode item = writeItems.addObject();
      if (write.value().isEmpty()) {
        item.put(WireNames.DELETE, write.key());
      } else {
        item.put(WireNames.PUT, write.key());
        item.putRawValue(WireNames.VALUE, new RawValue(write.value().get()));
        write.lease().ifPresent(lease -> item.put(WireNames.LEASE, lease.value()));
      }
    }
    return Json.write(node);
  }

  /**
   * Parses the response to a lease request: the id of the lease.
   *
   * @throws MalformedMessageException if the id is missing or invalid
   */
  public static LeaseId parseLeaseId(String body) throws MalformedMessageException {
    return new LeaseId(Json.count(Json.parseObject(body), WireNames.LEASE, 0, Long.MAX_VALUE));
  }

  /**
   * Parses the response to a read of one key.
   *
   * @throws MalformedMessageException if the key or its revision is missing or invalid
   */
  public static KeyValue parseKeyValue(String body) throws MalformedMessageException {
    return item(Json.parseObject(body));
  }

  /**
   * Parses the response to a transaction: the revision of the store after it.
   *
   * @throws MalformedMessageException if the revision is missing or invalid
   */
  public static Revision parseRevision(String body) throws MalformedMessageException {
    return revision(Json.parseObject(body), WireNames.STORE_REVISION);
  }

  /**
   * Parses a page of keys.
   *
   * @throws MalformedMessageException if a key or a revision is missing or invalid
   */
  public static Range parseRange(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<KeyValue> items = new ArrayList<>();
    for (JsonNode row : node.path(WireNames.ITEMS)) {
      items.add(item(row));
    }
    return new Range(
        items,
        node.path(WireNames.MORE).asBoolean(false),
        revision(node, WireNames.STORE_REVISION));
  }

  /**
   * Parses the changes that a watch returned.
   *
   * @throws MalformedMessageException if a key or a revision is missing or invalid
   */
  public static Changes parseChanges(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<Change> changes = new ArrayList<>();
    for (JsonNode event : node.path(WireNames.CHANGES)) {
      boolean put = event.hasNonNull(WireNames.PUT);
      changes.add(
          new Change(
              Json.text(event, put ? WireNames.PUT : WireNames.DELETE),
              put ? Optional.of(event.path(WireNames.VALUE)) : Optional.empty(),
              revision(event, WireNames.KEY_REVISION)));
    }
    return new Changes(changes, revision(node, WireNames.STORE_REVISION));
  }

  private static KeyValue item(JsonNode node) throws MalformedMessageException {
    return new KeyValue(
        Json.text(node, WireNames.KEY),
        node.path(WireNames.VALUE),
        revision(node, WireNames.KEY_REVISION));
  }

  private static Revision revision(JsonNode node, String key) throws MalformedMessageException {
    return new Revision(Json.count(node, key, 0, Long.MAX_VALUE));
  }
}
