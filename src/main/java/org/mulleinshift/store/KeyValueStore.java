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
 * <p>Every write is guarded by compare-and-swap conditions, so that a transaction that is applied
 * late changes nothing. All callbacks run on the event loop.
 */
public final class KeyValueStore {
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** A page takes longer than a single key. */
  private static final Duration PAGE_DEADLINE = DEADLINE.multipliedBy(2);

  /** Callers that wait for a confirmation hardly wait longer than this. */
  private static final Duration READ_CHANGES_DEADLINE = Duration.ofMillis(1500);

  /** How long the store keeps a watch open without changes. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(8);

  private static final Duration WATCH_DEADLINE = Duration.ofSeconds(11);

  /** How a call competes for this node's share of the store's rates. */
  public enum Urgency {
    /** Sent in any case, such as a lease renewal or the acceptance of a job. */
    URGENT(0),
    /** A caller waits for it, but it may be refused. */
    PROMPT(0),
    /** Leaves a small reserve of the rate to more urgent calls. */
    NORMAL(0.15),
    /** Leaves a large reserve of the rate to more urgent calls. */
    LOW(0.4);

    private final double reserve;

    Urgency(double reserve) {
      this.reserve = reserve;
    }

    /** The part of the rate that the call must leave unused. */
    double reserve() {
      return reserve;
    }
  }

  /** The result of a call whose response carries a value. */
  public sealed interface ReadResult<T> {
    /** The store returned a value. */
    record Found<T>(T value) implements ReadResult<T> {}

    /** Certain: there is no such key, lease or change history. */
    record Absent<T>() implements ReadResult<T> {}

    /** Nothing is known; a write may have happened or may happen later. */
    record Unknown<T>() implements ReadResult<T> {}

    /** Certain: not carried out. */
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

    /** Certain: not carried out, and never will be in this form. */
    record Rejected(String reason) implements CommitResult {}

    /** Nothing is known: it may have been carried out or may be later; the keys must be re-read. */
    record Unknown() implements CommitResult {}

    /** Certain: not carried out, and not soon. */
    record Refused() implements CommitResult {}

    /** Certain: not carried out, since the rate is used up for a moment. */
    record Busy() implements CommitResult {}
  }

  /**
   * This node's shares of the store's rates.
   *
   * @param requests requests per second
   * @param writes written keys per second
   * @param requestsShareAfterReduction the part of the request rate that remains once the store's
   *     limits are reduced
   * @param writesShareAfterReduction the part of the write rate that remains then
   */
  public record Rates(
      double requests,
      double writes,
      double requestsShareAfterReduction,
      double writesShareAfterReduction) {}

  /** Observes the outcome of calls; not of watches, whose answers wait for changes. */
  public interface CallObserver {
    /** A call was sent. */
    void sent();

    /** Answered; a refusal above the rate is an answer too. */
    void served();

    /**
     * Refused as unavailable, or no answer came.
     *
     * @param sentAt when the call was made: answers to later ones may have come meanwhile
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
   * A client of the store at the address.
   *
   * @param calls connections for calls that are answered at once
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

  /** Reports the outcome of calls to the observer from now on, in place of an earlier one. */
  public void observe(CallObserver next) {
    observer = Optional.of(next);
  }

  /** This node's share of the write rate changes with its role. */
  public void setWriteRate(double writesPerSecond) {
    budget.setWriteRate(writesPerSecond);
  }

  /** Reads one key. */
  public void get(String key, Urgency urgency, Consumer<ReadResult<KeyValue>> callback) {
    call(
        HttpRequest.get(StoreCodec.keyPath(key), DEADLINE),
        urgency,
        StoreCodec::parseKeyValue,
        callback);
  }

  /** The keys with the prefix that come after the given one, as many as fit into an answer. */
  public void readPage(
      String prefix, Optional<String> after, Consumer<ReadResult<StoreCodec.Range>> callback) {
    call(
        HttpRequest.get(StoreCodec.rangePath(prefix, after), PAGE_DEADLINE),
        Urgency.URGENT,
        StoreCodec::parseRange,
        callback);
  }

  /** All keys with a prefix that few keys have; not a snapshot of one moment. */
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
          // The oldest page's revision: a watch from there misses nothing.
          Revision revision = firstRevision.orElse(range.revision());
          if (range.nextPageAfter().isPresent()) {
            readAllFrom(prefix, range.nextPageAfter(), found, Optional.of(revision), callback);
          } else {
            callback.accept(new ReadResult.Found<>(new StoreCodec.Range(found, false, revision)));
          }
        });
  }

  /** Writes all changes in one transaction, if all guards match. */
  public void commit(
      List<Compare> guards, List<Write> changes, Urgency urgency, Consumer<CommitResult> callback) {
    if (!budget.tryAcquireWrites(changes.size(), urgency)) {
      loop.post(() -> callback.accept(new CommitResult.Busy()));
      return;
    }
    budget.acquireRequest();
    send(
        HttpRequest.post(
            StoreCodec.COMMIT_PATH, StoreCodec.writeTransaction(guards, changes), DEADLINE),
        response -> callback.accept(StoreResponses.toCommitResult(response)));
  }

  /** Grants a new lease that expires unless it is renewed within its time to live. */
  public void grantLease(Duration ttl, Consumer<ReadResult<LeaseId>> callback) {
    call(
        HttpRequest.post(StoreCodec.LEASES_PATH, StoreCodec.writeLeaseRequest(ttl), DEADLINE),
        Urgency.URGENT,
        StoreCodec::parseLeaseId,
        callback);
  }

  /** Renews a lease; absent if it has expired. */
  public void renewLease(LeaseId lease, Consumer<ReadResult<Boolean>> callback) {
    call(
        HttpRequest.post(StoreCodec.renewLeasePath(lease), "{}", DEADLINE),
        Urgency.URGENT,
        body -> true,
        callback);
  }

  /** Ends a lease, and with it all keys that are bound to it. */
  public void revokeLease(LeaseId lease, Consumer<ReadResult<Boolean>> callback) {
    call(
        HttpRequest.delete(StoreCodec.leasePath(lease), DEADLINE),
        Urgency.URGENT,
        body -> true,
        callback);
  }

  /** All changes up to now, without waiting for any. */
  public void readChanges(
      String prefix,
      Revision from,
      Urgency urgency,
      Consumer<ReadResult<StoreCodec.Changes>> callback) {
    call(
        HttpRequest.get(StoreCodec.watchPath(prefix, from, Duration.ZERO), READ_CHANGES_DEADLINE),
        urgency,
        StoreCodec::parseChanges,
        callback);
  }

  /** The next changes since a revision; waits for some, but not for ever. */
  public void watch(
      String prefix, Revision from, Consumer<ReadResult<StoreCodec.Changes>> callback) {
    budget.acquireRequest();
    watches.call(
        address,
        HttpRequest.get(StoreCodec.watchPath(prefix, from, WATCH_WAIT), WATCH_DEADLINE),
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
