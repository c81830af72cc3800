package org.mulleinshift.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Client of the consensus-backed key-value store.
 *
 * <p>Callers guard their writes with compare-and-swap conditions, so that a transaction that the
 * store applies late changes nothing. All callbacks run on the event loop.
 */
public final class KeyValueStore {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  /** Reading a page of keys takes longer than reading a single key. */
  private static final Duration PAGE_TIMEOUT = CALL_TIMEOUT.multipliedBy(2);

  /** Callers that wait for a confirmation rarely wait longer than this. */
  private static final Duration READ_CHANGES_TIMEOUT = Duration.ofMillis(1500);

  /** How long the store keeps a watch open without changes before it answers. */
  private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(8);

  /** Longer than {@link #LONG_POLL_WAIT}, after which the store answers even without changes. */
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(11);

  /** The priority of a call within this node's share of the store's rates. */
  public enum Urgency {
    /** Sent even if the rate is used up, such as a lease renewal or the acceptance of a job. */
    URGENT(0),
    /** A caller waits for it; may use the whole rate, but is refused once that is used up. */
    PROMPT(0),
    /** Leaves a small reserve of the rate to more urgent calls. */
    NORMAL(0.15),
    /** Leaves a large reserve of the rate to more urgent calls. */
    LOW(0.4);

    private final double reserveFraction;

    Urgency(double reserveFraction) {
      this.reserveFraction = reserveFraction;
    }

    /** The fraction of the rate that the call must leave unused. */
    double reserveFraction() {
      return reserveFraction;
    }
  }

  /** The result of a call whose response carries a value. */
  public sealed interface ReadResult<T> {
    /** The store returned a value. */
    record Found<T>(T value) implements ReadResult<T> {}

    /**
     * Certain: there is no such key or lease, or the store can't return the changes that were asked
     * for, since it no longer keeps them or they are too long for one response.
     */
    record Absent<T>() implements ReadResult<T> {}

    /** No usable response: the call may have been carried out, or may be later. */
    record Unknown<T>() implements ReadResult<T> {}

    /** Certain: not carried out, since a rate is used up or the store is unavailable. */
    record Refused<T>() implements ReadResult<T> {}
  }

  /** The result of a transaction. */
  public sealed interface CommitResult {
    /** Carried out at this revision. */
    record Committed(Revision revision) implements CommitResult {}

    /** Certain: not carried out, since a guard did not match. */
    record Conflict() implements CommitResult {}

    /** Certain: not carried out, since a write names a lease that has expired. */
    record LeaseExpired() implements CommitResult {}

    /** Certain: not carried out; the store would reject the same transaction again. */
    record Rejected(String reason) implements CommitResult {}

    /** No usable response: it may have been carried out, or may be later; re-read the keys. */
    record Unknown() implements CommitResult {}

    /** Certain: not carried out, since the store is unavailable. */
    record Refused() implements CommitResult {}

    /** Certain: not carried out, since the rate is used up for the moment. */
    record Busy() implements CommitResult {}
  }

  /**
   * This node's shares of the store's rates.
   *
   * @param requestsPerSecond maximum rate of requests
   * @param writesPerSecond maximum rate of written keys
   * @param requestsShareAfterReduction the fraction of the request rate that remains once the
   *     store's limits are reduced
   * @param writesShareAfterReduction the fraction of the write rate that remains then
   */
  public record Rates(
      double requestsPerSecond,
      double writesPerSecond,
      double requestsShareAfterReduction,
      double writesShareAfterReduction) {}

  /** Observes the outcome of calls; not of watches, whose responses wait for changes. */
  public interface CallObserver {
    /** A call was sent. */
    void sent();

    /** The store responded; a refusal because a rate was exceeded counts as a response. */
    void served();

    /**
     * The store responded that it is unavailable, or did not respond in time.
     *
     * @param sentAt when the call was sent; responses to later calls may have arrived since
     */
    void failed(MonotonicTime sentAt);
  }

  private final EventLoop loop;
  private final AsyncHttpClient calls;
  private final AsyncHttpClient watches;
  private final InetSocketAddress address;
  private final StoreRateBudget budget;
  private Optional<CallObserver> observer = Optional.empty();

  /**
   * Creates a client of the store at the address.
   *
   * @param calls connections for calls that the store answers at once
   * @param watches connections for watches, which stay open
   */
  public KeyValueStore(
      EventLoop loop,
      AsyncHttpClient calls,
      AsyncHttpClient watches,
      InetSocketAddress address,
      Rates rates) {
    this.loop = loop;
    this.calls = calls;
    this.watches = watches;
    this.address = address;
    this.budget = new StoreRateBudget(loop, rates);
  }

  /** Sets the observer of later calls; replaces the previous one. */
  public void setCallObserver(CallObserver newObserver) {
    observer = Optional.of(newObserver);
  }

  /**
   * Sets this node's share of the write rate, which depends on its role. The rate is given for the
   * store's limits before any reduction.
   */
  public void setWriteRate(double writesPerSecond) {
    budget.setWriteRate(writesPerSecond);
  }

  /** Reads one key; absent if it does not exist. */
  public void get(String key, Urgency urgency, Consumer<ReadResult<KeyValue>> callback) {
    call(
        HttpRequest.get(StoreCodec.keyPath(key), CALL_TIMEOUT),
        urgency,
        StoreCodec::parseKeyValue,
        callback);
  }

  /** Reads the keys with the prefix that come after the given one, as many as fit into a page. */
  public void readPage(
      String prefix, Optional<String> after, Consumer<ReadResult<StoreCodec.Range>> callback) {
    call(
        HttpRequest.get(StoreCodec.rangePath(prefix, after), PAGE_TIMEOUT),
        Urgency.URGENT,
        StoreCodec::parseRange,
        callback);
  }

  /**
   * Reads all keys with a prefix that few keys have, page by page. The result is not a snapshot:
   * pages may be read at different revisions, and it has the revision of the first one.
   */
  public void readAll(String prefix, Consumer<ReadResult<StoreCodec.Range>> callback) {
    readAllFrom(prefix, Optional.empty(), new ArrayList<>(), Optional.empty(), callback);
  }

  private void readAllFrom(
      String prefix,
      Optional<String> after,
      List<KeyValue> found,
      Optional<Revision> firstRevision,
      Consumer<ReadResult<StoreCodec.Range>> callback) {
    readPage(
        prefix,
        after,
        result -> {
          if (!(result instanceof ReadResult.Found<StoreCodec.Range> page)) {
            callback.accept(result);
            return;
          }
          StoreCodec.Range range = page.value();
          found.addAll(range.items());
          // A watch from the first page's revision misses no change.
          Revision revision = firstRevision.orElse(range.revision());
          if (range.nextPageAfter().isPresent()) {
            readAllFrom(prefix, range.nextPageAfter(), found, Optional.of(revision), callback);
          } else {
            callback.accept(new ReadResult.Found<>(new StoreCodec.Range(found, false, revision)));
          }
        });
  }

  /** Commits all changes in one transaction if all guards match, and none otherwise. */
  public void commit(
      List<Compare> guards, List<Write> changes, Urgency urgency, Consumer<CommitResult> callback) {
    if (!budget.tryAcquireWrites(changes.size(), urgency)) {
      loop.post(() -> callback.accept(new CommitResult.Busy()));
      return;
    }
    budget.acquireRequest();
    send(
        HttpRequest.post(
            StoreCodec.COMMIT_PATH, StoreCodec.writeTransaction(guards, changes), CALL_TIMEOUT),
        response -> callback.accept(StoreResponses.toCommitResult(response)));
  }

  /** Creates a lease that expires unless it is renewed within its time to live. */
  public void grantLease(Duration ttl, Consumer<ReadResult<LeaseId>> callback) {
    call(
        HttpRequest.post(StoreCodec.LEASES_PATH, StoreCodec.writeLeaseRequest(ttl), CALL_TIMEOUT),
        Urgency.URGENT,
        StoreCodec::parseLeaseId,
        callback);
  }

  /** Renews a lease; absent if it has expired. */
  public void renewLease(LeaseId lease, Consumer<ReadResult<Boolean>> callback) {
    call(
        HttpRequest.post(StoreCodec.renewLeasePath(lease), "{}", CALL_TIMEOUT),
        Urgency.URGENT,
        body -> true,
        callback);
  }

  /** Revokes a lease and thereby deletes all keys that are bound to it; absent if it expired. */
  public void revokeLease(LeaseId lease, Consumer<ReadResult<Boolean>> callback) {
    call(
        HttpRequest.delete(StoreCodec.leasePath(lease), CALL_TIMEOUT),
        Urgency.URGENT,
        body -> true,
        callback);
  }

  /** Reads all changes since a revision, without waiting for new ones. */
  public void readChanges(
      String prefix,
      Revision from,
      Urgency urgency,
      Consumer<ReadResult<StoreCodec.Changes>> callback) {
    call(
        HttpRequest.get(StoreCodec.watchPath(prefix, from, Duration.ZERO), READ_CHANGES_TIMEOUT),
        urgency,
        StoreCodec::parseChanges,
        callback);
  }

  /** Reads the changes since a revision; if there are none, waits some seconds for the next. */
  public void watch(
      String prefix, Revision from, Consumer<ReadResult<StoreCodec.Changes>> callback) {
    budget.acquireRequest();
    watches.call(
        address,
        HttpRequest.get(StoreCodec.watchPath(prefix, from, LONG_POLL_WAIT), WATCH_TIMEOUT),
        response ->
            callback.accept(StoreResponses.toReadResult(response, StoreCodec::parseChanges)));
  }

  private <T> void call(
      HttpRequest request,
      Urgency urgency,
      StoreResponses.BodyParser<T> parser,
      Consumer<ReadResult<T>> callback) {
    if (!budget.tryAcquireRequest(urgency)) {
      loop.post(() -> callback.accept(new ReadResult.Refused<>()));
      return;
    }
    send(request, response -> callback.accept(StoreResponses.toReadResult(response, parser)));
  }

  private void send(HttpRequest request, Consumer<HttpResponse> callback) {
    MonotonicTime sentAt = loop.now();
    observer.ifPresent(CallObserver::sent);
    calls.call(
        address,
        request,
        response -> {
          if (StoreResponses.isServed(response)) {
            observer.ifPresent(CallObserver::served);
          } else {
            observer.ifPresent(present -> present.failed(sentAt));
          }
          if (StoreResponses.isRateLimited(response)) {
            budget.onRateLimited();
          }
          callback.accept(response);
        });
  }
}
