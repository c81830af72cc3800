package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpResponse;

/** Faults of the simulated store. Durations are seconds from now on. */
public final class StoreFaults {
  private static final double MIN_DELAY_SECONDS = 2;
  private static final double DELAY_SPREAD_SECONDS = 10;

  /** A share of the transactions of a kind, or of any kind if it is empty. */
  private record Affected(double share, double until, String kind) {
    static final Affected NONE = new Affected(0, 0, "");

    boolean covers(Timeline timeline, JsonNode transaction) {
      return timeline.seconds() < until
          && (kind.isEmpty() || TransactionKinds.of(transaction).contains(kind))
          && timeline.random() < share;
    }
  }

  private final Timeline timeline;
  private final Map<String, Double> requestsRejectedUntil = new HashMap<>();
  private final Map<String, Double> responsesLostUntil = new HashMap<>();
  private final Map<String, Double> watchesWithheldUntil = new HashMap<>();
  private final Map<String, Double> readsOfChangesWithheldUntil = new HashMap<>();
  private Affected delayedTransactions = Affected.NONE;
  private Affected lostResponses = Affected.NONE;
  private double outageUntil;
  private double slowUntil;
  private double slowBySeconds;

  StoreFaults(Timeline timeline) {
    this.timeline = timeline;
  }

  void outage(double seconds) {
    outageUntil = timeline.seconds() + seconds;
  }

  /** All requests of the controller are rejected. */
  public void rejectRequests(String controller, double seconds) {
    requestsRejectedUntil.put(controller, timeline.seconds() + seconds);
  }

  /** The controller's transactions are carried out, and their responses are lost. */
  public void loseTransactionResponses(String controller, double seconds) {
    responsesLostUntil.put(controller, timeline.seconds() + seconds);
  }

  /** Responses to the controller's open watches are held back; all other requests are answered. */
  public void withholdWatchResponses(String controller, double seconds) {
    watchesWithheldUntil.put(controller, timeline.seconds() + seconds);
  }

  /** All responses that would tell the controller of changes are held back. */
  public void withholdChangeResponses(String controller, double seconds) {
    withholdWatchResponses(controller, seconds);
    readsOfChangesWithheldUntil.put(controller, timeline.seconds() + seconds);
  }

  /** That share of transactions of a kind gets no response and is carried out 2 to 12 s later. */
  public void delayTransactions(double share, double seconds, String kind) {
    delayedTransactions = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** That share of transactions of a kind is carried out at once, and only the response is lost. */
  public void loseResponses(double share, double seconds, String kind) {
    lostResponses = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** Responses come so much later. */
  public void slow(double bySeconds, double seconds) {
    slowBySeconds = bySeconds;
    slowUntil = timeline.seconds() + seconds;
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

  Consumer<HttpResponse> slowed(Consumer<HttpResponse> reply) {
    return timeline.seconds() < slowUntil
        ? response -> timeline.after(slowBySeconds, () -> reply.accept(response))
        : reply;
  }
}
