package org.mulleinshift.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MalformedMessageException;
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
import org.mulleinshift.transport.RateLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state service. Every write is guarded, so that a transaction that is applied late changes
 * nothing. An answer that makes no sense counts as none.
 */
public final class KeyValueStore {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStore.class);
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** Whoever asked waits for hardly longer. */
  private static final Duration PROOF_DEADLINE = Duration.ofMillis(1500);

  private static final Duration WATCH = Duration.ofSeconds(8);
  private static final Duration WATCH_DEADLINE = Duration.ofSeconds(11);

  /** Whether a call may wait for the budget. Renewals and acceptance may not. */
  public enum Urgency {
    URGENT(0),
    /** Someone waits for it, but it may be refused. */
    PROMPT(0),
    NORMAL(0.15),
    LOW(0.4);

    private final double reserve;

    Urgency(double reserve) {
      this.reserve = reserve;
    }
  }

  /** What came of a call whose answer carries a value. */
  public sealed interface ReadResult<T> {
    record Found<T>(T value) implements ReadResult<T> {}

    /** Certain: there is no such key, lease or change history. */
    record Absent<T>() implements ReadResult<T> {}

    /** Nothing is known; a write may have happened or may happen later. */
    record Unknown<T>() implements ReadResult<T> {}

    /** Certain: not carried out. */
    record Refused<T>() implements ReadResult<T> {}
  }

  /** What came of a transaction. */
  public sealed interface CommitResult {
    record Committed(Revision revision) implements CommitResult {}

    record Conflict() implements CommitResult {}

    record LeaseExpired() implements CommitResult {}

    /** Certain: not carried out, and never will be in this form. */
    record Rejected(String reason) implements CommitResult {}

    record Unknown() implements CommitResult {}

    /** Certain: not carried out, and not soon. */
    record Refused() implements CommitResult {}

    /** Certain: not carried out, since the rate is used up for a moment. */
    record Busy() implements CommitResult {}
  }

  /**
   * This node's shares of the service's rates.
   *
   * @param requestsShareAfterReduction the part of the request rate that is left once the service's
   *     limits fall
   * @param writesShareAfterReduction the same of the changes
   */
  public record Rates(
      double requests,
      double writes,
      double requestsShareAfterReduction,
      double writesShareAfterReduction) {}

  private interface Parser<T> {
    T parse(String body) throws MalformedMessageException;
  }

  /** Hears how calls fare; not of watches, whose answers wait for news. */
  public interface CallObserver {
    void sent();

    /** Answered; a refusal above the rate is an answer too. */
    void served();

    /**
     * Refused with 503, or no answer came.
     *
     * @param sentAt when the call was made: answers to later ones may have come meanwhile
     */
    void failed(MonotonicTime sentAt);
  }

  private final EventLoop loop;
  private final AsyncHttpClient calls;
  private final AsyncHttpClient watches;
  private final InetSocketAddress address;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final Rates rates;
  private double requestRate;
  private double writeRate;
  private boolean reducedLimits;
  private Optional<CallObserver> observer = Optional.empty();

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
    this.rates = rates;
    this.requestRate = rates.requests();
    this.writeRate = rates.writes();
    this.requests = new RateLimiter(loop, requestRate);
    this.writes = new RateLimiter(loop, writeRate);
  }

  public void observe(CallObserver listener) {
    observer = Optional.of(listener);
  }

  private void send(HttpRequest request, Consumer<HttpResponse> then) {
    MonotonicTime sentAt = loop.now();
    observer.ifPresent(CallObserver::sent);
    calls.call(
        address,
        request,
        reply -> {
          boolean served = reply.status() != 0 && reply.status() != 503;
          observer.ifPresent(served ? CallObserver::served : listener -> listener.failed(sentAt));
          if (reply.status() == 429) {
            onRateLimited();
          }
          then.accept(reply);
        });
  }

  /** This node's share of the writes changes with its role. */
  public void writeRate(double next) {
    writeRate = next * (reducedLimits ? rates.writesShareAfterReduction() : 1);
    writes.setRate(writeRate);
  }

  /** A refusal above the rate says that the limits may have fallen: they never rise again. */
  private void onRateLimited() {
    if (!reducedLimits
        && (rates.requestsShareAfterReduction() < 1 || rates.writesShareAfterReduction() < 1)) {
      reducedLimits = true;
      LOG.info("refused above the rate: keeping to the state service's next limits");
      writeRate *= rates.writesShareAfterReduction();
      requestRate *= rates.requestsShareAfterReduction();
      writes.setRate(writeRate);
      requests.setRate(requestRate);
    }
  }

  public void get(String key, Urgency urgency, Consumer<ReadResult<KeyValue>> then) {
    call(HttpRequest.get(StoreCodec.keyPath(key), DEADLINE), urgency, StoreCodec::parseItem, then);
  }

  /** The keys with the prefix that come after the given one, as many as fit into an answer. */
  public void readPage(
      String prefix, Optional<String> after, Consumer<ReadResult<StoreCodec.Range>> then) {
    call(
        HttpRequest.get(StoreCodec.rangePath(prefix, after), DEADLINE.multipliedBy(2)),
        Urgency.URGENT,
        StoreCodec::parseRange,
        then);
  }

  /** All keys with a prefix that few keys have; not one moment's picture. */
  public void readAll(String prefix, Consumer<ReadResult<StoreCodec.Range>> then) {
    readAllFrom(prefix, Optional.empty(), new ArrayList<>(), Optional.empty(), then);
  }

  private void readAllFrom(
      String prefix,
      Optional<String> after,
      List<KeyValue> found,
      Optional<Revision> first,
      Consumer<ReadResult<StoreCodec.Range>> then) {
    readPage(
        prefix,
        after,
        answer -> {
          if (!(answer instanceof ReadResult.Found<StoreCodec.Range> page)) {
            then.accept(answer);
            return;
          }
          StoreCodec.Range range = page.value();
          found.addAll(range.items());
          // The oldest page's revision: a watch from there misses nothing.
          Revision revision = first.orElse(range.revision());
          if (range.next().isPresent()) {
            readAllFrom(prefix, range.next(), found, Optional.of(revision), then);
          } else {
            then.accept(new ReadResult.Found<>(new StoreCodec.Range(found, false, revision)));
          }
        });
  }

  public void commit(
      List<Compare> guards, List<Write> changes, Urgency urgency, Consumer<CommitResult> then) {
    double reserve = urgency.reserve * writeRate;
    if (urgency == Urgency.URGENT) {
      writes.acquireOverdraft(changes.size());
    } else if (!writes.tryAcquire(changes.size(), reserve)) {
      loop.post(() -> then.accept(new CommitResult.Busy()));
      return;
    }
    requests.acquireOverdraft(1);
    send(
        HttpRequest.post(StoreCodec.COMMIT, StoreCodec.commit(guards, changes), DEADLINE),
        reply -> then.accept(outcome(reply)));
  }

  private static CommitResult outcome(HttpResponse reply) {
    return switch (reply.status()) {
      case 200 -> committed(reply);
      case 409 -> new CommitResult.Conflict();
      case 400 -> refused(reply);
      case 429 -> new CommitResult.Busy();
      case 503 -> new CommitResult.Refused();
      default -> new CommitResult.Unknown();
    };
  }

  private static CommitResult committed(HttpResponse reply) {
    try {
      return new CommitResult.Committed(StoreCodec.parseRevision(reply.body()));
    } catch (MalformedMessageException e) {
      return new CommitResult.Unknown();
    }
  }

  private static CommitResult refused(HttpResponse reply) {
    LOG.info("transaction refused: {}", reply.body());
    return reply.body().contains("no such lease")
        ? new CommitResult.LeaseExpired()
        : new CommitResult.Rejected(reply.body());
  }

  public void grantLease(Duration ttl, Consumer<ReadResult<LeaseId>> then) {
    call(
        HttpRequest.post(StoreCodec.LEASES, StoreCodec.grantLease(ttl), DEADLINE),
        Urgency.URGENT,
        StoreCodec::parseLease,
        then);
  }

  public void renewLease(LeaseId hold, Consumer<ReadResult<Boolean>> then) {
    call(
        HttpRequest.post(StoreCodec.renewLeasePath(hold), "{}", DEADLINE),
        Urgency.URGENT,
        body -> true,
        then);
  }

  public void revokeLease(LeaseId hold, Consumer<ReadResult<Boolean>> then) {
    call(
        HttpRequest.delete(StoreCodec.leasePath(hold), DEADLINE),
        Urgency.URGENT,
        body -> true,
        then);
  }

  /** All changes up to now, without waiting for any. */
  public void readChanges(
      String prefix,
      Revision from,
      Urgency urgency,
      Consumer<ReadResult<StoreCodec.Changes>> then) {
    call(
        HttpRequest.get(StoreCodec.watchPath(prefix, from, Duration.ZERO), PROOF_DEADLINE),
        urgency,
        StoreCodec::parseChanges,
        then);
  }

  public void watch(String prefix, Revision from, Consumer<ReadResult<StoreCodec.Changes>> then) {
    requests.acquireOverdraft(1);
    watches.call(
        address,
        HttpRequest.get(StoreCodec.watchPath(prefix, from, WATCH), WATCH_DEADLINE),
        reply -> then.accept(answer(reply, StoreCodec::parseChanges)));
  }

  private <T> void call(
      HttpRequest request, Urgency urgency, Parser<T> parser, Consumer<ReadResult<T>> then) {
    if (urgency == Urgency.URGENT) {
      requests.acquireOverdraft(1);
    } else if (!requests.tryAcquire(1, urgency.reserve * requestRate)) {
      loop.post(() -> then.accept(new ReadResult.Refused<>()));
      return;
    }
    send(request, reply -> then.accept(answer(reply, parser)));
  }

  private static <T> ReadResult<T> answer(HttpResponse reply, Parser<T> parser) {
    return switch (reply.status()) {
      case 200 -> found(reply, parser);
      // Too long: more changes than this node takes in one answer, as if they were no longer kept.
      case 404, 410, HttpResponse.TOO_LONG -> new ReadResult.Absent<>();
      case 429, 503 -> new ReadResult.Refused<>();
      default -> new ReadResult.Unknown<>();
    };
  }

  private static <T> ReadResult<T> found(HttpResponse reply, Parser<T> parser) {
    try {
      return new ReadResult.Found<>(parser.parse(reply.body()));
    } catch (MalformedMessageException e) {
      LOG.warn("answer of the state service: {}", e.getMessage());
      return new ReadResult.Unknown<>();
    }
  }
}
