package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpResponse;

/** Faults of the simulated store. Durations are seconds from now on. */
public final class StoreFaults {
  private static final double MIN_LATE_SECONDS = 2;
  private static final double LATE_SPREAD_SECONDS = 10;

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
  private final Map<String, Double> refusedUntil = new HashMap<>();
  private final Map<String, Double> mutedUntil = new HashMap<>();
  private final Map<String, Double> watchesHeldUntil = new HashMap<>();
  private final Map<String, Double> readsOfChangesHeldUntil = new HashMap<>();
  private Affected lateWrites = Affected.NONE;
  private Affected lostAnswers = Affected.NONE;
  private double outageUntil;
  private double slowUntil;
  private double slowBy;

  StoreFaults(Timeline timeline) {
    this.timeline = timeline;
  }

  void outage(double seconds) {
    outageUntil = timeline.seconds() + seconds;
  }

  /** All requests of the controller are rejected. */
  public void refuse(String controller, double seconds) {
    refusedUntil.put(controller, timeline.seconds() + seconds);
  }

  /** The controller's transactions are carried out, and their responses are lost. */
  public void mute(String controller, double seconds) {
    mutedUntil.put(controller, timeline.seconds() + seconds);
  }

  /** Responses to the controller's open watches are held back; all other requests are answered. */
  public void holdWatches(String controller, double seconds) {
    watchesHeldUntil.put(controller, timeline.seconds() + seconds);
  }

  /** All responses that would tell the controller of changes are held back. */
  public void holdChanges(String controller, double seconds) {
    holdWatches(controller, seconds);
    readsOfChangesHeldUntil.put(controller, timeline.seconds() + seconds);
  }

  /** That share of transactions of a kind gets no response and is carried out 2 to 12 s later. */
  public void lateWrites(double share, double seconds, String kind) {
    lateWrites = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** That share of transactions of a kind is carried out at once, and only the response is lost. */
  public void lostAnswers(double share, double seconds, String kind) {
    lostAnswers = new Affected(share, timeline.seconds() + seconds, kind);
  }

  /** Responses come so much later. */
  public void slow(double by, double seconds) {
    slowBy = by;
    slowUntil = timeline.seconds() + seconds;
  }

  boolean inOutage() {
    return timeline.seconds() < outageUntil;
  }

  boolean unavailableTo(String controller) {
    return inOutage() || active(refusedUntil, controller);
  }

  boolean mutes(String controller) {
    return active(mutedUntil, controller);
  }

  boolean holdsWatch(String controller) {
    return active(watchesHeldUntil, controller);
  }

  boolean holdsReadOfChanges(String controller) {
    return active(readsOfChangesHeldUntil, controller);
  }

  private boolean active(Map<String, Double> until, String controller) {
    return timeline.seconds() < until.getOrDefault(controller, 0.0);
  }

  boolean delays(JsonNode transaction) {
    return lateWrites.covers(timeline, transaction);
  }

  double drawDelaySeconds() {
    return MIN_LATE_SECONDS + LATE_SPREAD_SECONDS * timeline.random();
  }

  boolean losesAnswer(JsonNode transaction) {
    return lostAnswers.covers(timeline, transaction);
  }

  Consumer<HttpResponse> slowed(Consumer<HttpResponse> reply) {
    return timeline.seconds() < slowUntil
        ? response -> timeline.after(slowBy, () -> reply.accept(response))
        : reply;
  }
}
