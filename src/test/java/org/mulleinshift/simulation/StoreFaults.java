package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpResponse;

/** Faults of the simulated store. Each lasts for {@code seconds} from the call. */
public final class StoreFaults {
  private static final double MIN_DELAY_SECONDS = 2;
  private static final double DELAY_SPREAD_SECONDS = 10;
  private static final double MIN_RESPONSE_DELAY_FACTOR = 0.5;

  /**
   * Selects a random share of the transactions of a kind, or of all kinds if {@code kind} is empty.
   */
  private record Affected(double share, double until, String kind) {
    static final Affected NONE = new Affected(0, 0, "");

    boolean covers(Timeline timeline, JsonNode transaction) {
      return timeline.seconds() < until
          && (kind.isEmpty() || TransactionKinds.of(transaction).contains(kind))
          && timeline.random() < share;
    }
  }

  /** Delays responses about keys with the prefix. */
  private record DelayedResponses(String prefix, double seconds, double until) {
    static final DelayedResponses NONE = new DelayedResponses("", 0, 0);

    void deliver(
        Timeline timeline, String about, HttpResponse response, Consumer<HttpResponse> reply) {
      if (timeline.seconds() < until && about.equals(prefix)) {
        double factor =
            MIN_RESPONSE_DELAY_FACTOR + (1 - MIN_RESPONSE_DELAY_FACTOR) * timeline.random();
        timeline.after(seconds * factor, () -> reply.accept(response));
      } else {
        reply.accept(response);
      }
    }
  }

  private final Timeline timeline;
  private final Map<String, Double> requestsRejectedUntil = new HashMap<>();
  private final Map<String, Double> responsesLostUntil = new HashMap<>();
  private final Map<String, Double> watchesWithheldUntil = new HashMap<>();
  private final Map<String, Double> readsOfChangesWithheldUntil = new HashMap<>();
  private Affected delayedTransactions = Affected.NONE;
  private Affected lostResponses = Affected.NONE;
  private DelayedResponses delayedChanges = DelayedResponses.NONE;
  private DelayedResponses delayedReads = DelayedResponses.NONE;
  private double outageUntil;
  private double slowUntil;
  private double slowBySeconds;

  StoreFaults(Timeline timeline) {
    this.timeline = timeline;
  }

  void outage(double seconds) {
    outageUntil = timeline.seconds() + seconds;
  }

  /** Rejects all requests of the controller as unavailable. */
  public void rejectRequests(String controller, double seconds) {
    requestsRejectedUntil.put(controller, timeline.seconds() + seconds);
  }

  /** Commits the controller's transactions but loses the responses. */
  public void loseTransactionResponses(String controller, double seconds) {
    responsesLostUntil.put(controller, timeline.seconds() + seconds);
  }

  /** Withholds the responses to the controller's open watches; other requests are served. */
  public void withholdWatchResponses(String controller, double seconds) {
    watchesWithheldUntil.put(controller, timeline.seconds() + seconds);
  }

  /**
   * Withholds all responses that report changes: those of open watches and of reads of changes that
   * do not wait.
   */
  public void withholdChangeResponses(String controller, double seconds) {
    withholdWatchResponses(controller, seconds);
    readsOfChangesWithheldUntil.put(controller, timeline.seconds() + seconds);
  }

  /**
   * The given share of transactions of a kind gets no response and is committed 2 to 12 s later.
   */
  public void delayTransactions(double share, double seconds, String kind) {
    delayedTransactions = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** The given share of transactions of a kind is committed at once, but the response is lost. */
  public void loseResponses(double share, double seconds, String kind) {
    lostResponses = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** Delays all responses by {@code bySeconds}. */
  public void slow(double bySeconds, double seconds) {
    slowBySeconds = bySeconds;
    slowUntil = timeline.seconds() + seconds;
  }

  /**
   * Responses that report changes of keys with the prefix arrive up to {@code bySeconds} later than
   * the store made them, so that responses to later requests overtake them.
   */
  public void delayChangeResponses(String prefix, double bySeconds, double seconds) {
    delayedChanges = new DelayedResponses(prefix, bySeconds, timeline.seconds() + seconds);
  }

  /** Responses to reads of all keys with the prefix arrive up to {@code bySeconds} later. */
  public void delayRangeReads(String prefix, double bySeconds, double seconds) {
    delayedReads = new DelayedResponses(prefix, bySeconds, timeline.seconds() + seconds);
  }

  boolean inOutage() {
    return timeline.seconds() < outageUntil;
  }

  boolean unavailableTo(String controller) {
    return inOutage() || active(requestsRejectedUntil, controller);
  }

  boolean losesTransactionResponses(String controller) {
    return active(responsesLostUntil, controller);
  }

  boolean withholdsWatchResponse(String controller) {
    return active(watchesWithheldUntil, controller);
  }

  boolean withholdsReadOfChanges(String controller) {
    return active(readsOfChangesWithheldUntil, controller);
  }

  private boolean active(Map<String, Double> until, String controller) {
    return timeline.seconds() < until.getOrDefault(controller, 0.0);
  }

  boolean delaysTransaction(JsonNode transaction) {
    return delayedTransactions.covers(timeline, transaction);
  }

  double drawDelaySeconds() {
    return MIN_DELAY_SECONDS + DELAY_SPREAD_SECONDS * timeline.random();
  }

  boolean losesResponse(JsonNode transaction) {
    return lostResponses.covers(timeline, transaction);
  }

  /** Delivers a response that reports changes of keys with the prefix. */
  void deliverChanges(String prefix, HttpResponse response, Consumer<HttpResponse> reply) {
    delayedChanges.deliver(timeline, prefix, response, reply);
  }

  /** Delivers a response to a read of all keys with the prefix. */
  void deliverRange(String prefix, HttpResponse response, Consumer<HttpResponse> reply) {
    delayedReads.deliver(timeline, prefix, response, reply);
  }

  Consumer<HttpResponse> slowed(Consumer<HttpResponse> reply) {
    return timeline.seconds() < slowUntil
        ? response -> timeline.after(slowBySeconds, () -> reply.accept(response))
        : reply;
  }
}
