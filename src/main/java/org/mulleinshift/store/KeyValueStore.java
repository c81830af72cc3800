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
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Item;
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
  public sealed interface Answer<T> {
    record Found<T>(T value) implements Answer<T> {}

    /** Certain: there is no such key, lease or change history. */
    record Absent<T>() implements Answer<T> {}

    /** Nothing is known; a write may have happened or may happen later. */
    record Unknown<T>() implements Answer<T> {}

    /** Certain: not carried out. */
    record Refused<T>() implements Answer<T> {}
  }

  /** What came of a transaction. */
  public sealed interface Outcome {
    record Committed(Revision revision) implements Outcome {}

    record Conflict() implements Outcome {}

    record LeaseGone() implements Outcome {}

    /** Certain: not carried out, and never will be in this form. */
    record Unfit(String why) implements Outcome {}

    record Unknown() implements Outcome {}

    /** Certain: not carried out, and not soon. */
    record Refused() implements Outcome {}

    /** Certain: not carried out, since the rate is used up for a moment. */
    record Busy() implements Outcome {}
  }

  /**
   * This node's shares of the service's rates.
   *
   * @param requestsLeft the part of the request rate that is left once the service's limits fall
   * @param writesLeft the same of the changes
   */
  public record Rates(double requests, double writes, double requestsLeft, double writesLeft) {}

  private interface Parser<T> {
    T parse(String body) throws MalformedMessageException;
  }

  /** Hears how calls fare; not of watches, whose answers wait for news. */
  public interface Fates {
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
  private boolean fallen;
  private Optional<Fates> fates = Optional.empty();

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

  public void tell(Fates listener) {
    fates = Optional.of(listener);
  }

  private void ask(HttpRequest request, Consumer<HttpResponse> then) {
    MonotonicTime sentAt = loop.now();
    fates.ifPresent(Fates::sent);
    calls.call(
        address,
        request,
        reply -> {
          boolean served = reply.status() != 0 && reply.status() != 503;
          fates.ifPresent(served ? Fates::served : listener -> listener.failed(sentAt));
          if (reply.status() == 429) {
            refusedAboveRate();
          }
          then.accept(reply);
        });
  }

  /** This node's share of the writes changes with its role. */
  public void writeRate(double next) {
    writeRate = next * (fallen ? rates.writesLeft() : 1);
    writes.rate(writeRate);
  }

  /** A refusal above the rate says that the limits may have fallen: they never rise again. */
  private void refusedAboveRate() {
    if (!fallen && (rates.requestsLeft() < 1 || rates.writesLeft() < 1)) {
      fallen = true;
      LOG.info("refused above the rate: keeping to the state service's next limits");
      writeRate *= rates.writesLeft();
      requestRate *= rates.requestsLeft();
      writes.rate(writeRate);
      requests.rate(requestRate);
    }
  }

  public void get(String key, Urgency urgency, Consumer<Answer<Item>> then) {
    call(HttpRequest.get(StoreCodec.keyPath(key), DEADLINE), urgency, StoreCodec::parseItem, then);
  }

  /** The keys with the prefix that come after the given one, as many as fit into an answer. */
  public void page(String prefix, Optional<String> after, Consumer<Answer<StoreCodec.Range>> then) {
    call(
        HttpRequest.get(StoreCodec.rangePath(prefix, after), DEADLINE.multipliedBy(2)),
        Urgency.URGENT,
        StoreCodec::parseRange,
        then);
  }

  /** All keys with a prefix that few keys have; not one moment's picture. */
  public void range(String prefix, Consumer<Answer<StoreCodec.Range>> then) {
    rangeFrom(prefix, Optional.empty(), new ArrayList<>(), Optional.empty(), then);
  }

  private void rangeFrom(
      String prefix,
      Optional<String> after,
      List<Item> found,
      Optional<Revision> first,
      Consumer<Answer<StoreCodec.Range>> then) {
    page(
        prefix,
        after,
        answer -> {
          if (!(answer instanceof Answer.Found<StoreCodec.Range> page)) {
            then.accept(answer);
            return;
          }
          StoreCodec.Range range = page.value();
          found.addAll(range.items());
          // The oldest page's revision: a watch from there misses nothing.
          Revision revision = first.orElse(range.revision());
          if (range.next().isPresent()) {
            rangeFrom(prefix, range.next(), found, Optional.of(revision), then);
          } else {
            then.accept(new Answer.Found<>(new StoreCodec.Range(found, false, revision)));
          }
        });
  }

  public void commit(
      List<Guard> guards, List<Write> changes, Urgency urgency, Consumer<Outcome> then) {
    double reserve = urgency.reserve * writeRate;
    if (urgency == Urgency.URGENT) {
      writes.force(changes.size());
    } else if (!writes.take(changes.size(), reserve)) {
      loop.post(() -> then.accept(new Outcome.Busy()));
      return;
    }
    requests.force(1);
    ask(
        HttpRequest.post(StoreCodec.COMMIT, StoreCodec.commit(guards, changes), DEADLINE),
        reply -> then.accept(outcome(reply)));
  }

  private static Outcome outcome(HttpResponse reply) {
    return switch (reply.status()) {
      case 200 -> committed(reply);
      case 409 -> new Outcome.Conflict();
      case 400 -> refused(reply);
      case 429 -> new Outcome.Busy();
      case 503 -> new Outcome.Refused();
      default -> new Outcome.Unknown();
    };
  }

  private static Outcome committed(HttpResponse reply) {
    try {
      return new Outcome.Committed(StoreCodec.parseRevision(reply.body()));
    } catch (MalformedMessageException e) {
      return new Outcome.Unknown();
    }
  }

  private static Outcome refused(HttpResponse reply) {
    LOG.info("transaction refused: {}", reply.body());
    return reply.body().contains("no such lease")
        ? new Outcome.LeaseGone()
        : new Outcome.Unfit(reply.body());
  }

  public void grantHold(Duration ttl, Consumer<Answer<LeaseId>> then) {
    call(
        HttpRequest.post(StoreCodec.HOLDS, StoreCodec.grant(ttl), DEADLINE),
        Urgency.URGENT,
        StoreCodec::parseHold,
        then);
  }

  public void renew(LeaseId hold, Consumer<Answer<Boolean>> then) {
    call(
        HttpRequest.post(StoreCodec.renewPath(hold), "{}", DEADLINE),
        Urgency.URGENT,
        body -> true,
        then);
  }

  public void endHold(LeaseId hold, Consumer<Answer<Boolean>> then) {
    call(
        HttpRequest.delete(StoreCodec.holdPath(hold), DEADLINE),
        Urgency.URGENT,
        body -> true,
        then);
  }

  /** All changes up to now, without waiting for any. */
  public void changes(
      String prefix, Revision from, Urgency urgency, Consumer<Answer<StoreCodec.Changes>> then) {
    call(
        HttpRequest.get(StoreCodec.watchPath(prefix, from, Duration.ZERO), PROOF_DEADLINE),
        urgency,
        StoreCodec::parseChanges,
        then);
  }

  public void watch(String prefix, Revision from, Consumer<Answer<StoreCodec.Changes>> then) {
    requests.force(1);
    watches.call(
        address,
        HttpRequest.get(StoreCodec.watchPath(prefix, from, WATCH), WATCH_DEADLINE),
        reply -> then.accept(answer(reply, StoreCodec::parseChanges)));
  }

  private <T> void call(
      HttpRequest request, Urgency urgency, Parser<T> parser, Consumer<Answer<T>> then) {
    if (urgency == Urgency.URGENT) {
      requests.force(1);
    } else if (!requests.take(1, urgency.reserve * requestRate)) {
      loop.post(() -> then.accept(new Answer.Refused<>()));
      return;
    }
    ask(request, reply -> then.accept(answer(reply, parser)));
  }

  private static <T> Answer<T> answer(HttpResponse reply, Parser<T> parser) {
    return switch (reply.status()) {
      case 200 -> found(reply, parser);
      // Too long: more changes than this node takes in one answer, as if they were no longer kept.
      case 404, 410, HttpResponse.TOO_LONG -> new Answer.Absent<>();
      case 429, 503 -> new Answer.Refused<>();
      default -> new Answer.Unknown<>();
    };
  }

  private static <T> Answer<T> found(HttpResponse reply, Parser<T> parser) {
    try {
      return new Answer.Found<>(parser.parse(reply.body()));
    } catch (MalformedMessageException e) {
      LOG.warn("answer of the state service: {}", e.getMessage());
      return new Answer.Unknown<>();
    }
  }
}
