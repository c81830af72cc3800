package org.mulleinshift.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Delivers late copies of heartbeats: to one controller after a random delay, or to all controllers
 * when the next leader's term begins.
 */
public final class DelayedDuplicates {
  private static final int MAX_KEPT_PER_MACHINE = 4;
  private static final double KEPT_FRACTION = 0.3;
  private static final double MAX_RELEASE_SECONDS = 0.8;

  private final Timeline timeline;
  private final List<SimulatedController> controllers;
  private final Map<String, Deque<String>> keptByMachine = new LinkedHashMap<>();
  private double keepUntil;
  private double duplicateUntil;
  private double minDelaySeconds;
  private double maxDelaySeconds;

  /** Creates an instance that duplicates nothing until one of the faults is started. */
  public DelayedDuplicates(Timeline timeline, List<SimulatedController> controllers) {
    this.timeline = timeline;
    this.controllers = controllers;
  }

  /** For {@code seconds}, keeps copies of some heartbeats until the next leader's term begins. */
  public void keepDuring(double seconds) {
    keepUntil = timeline.seconds() + seconds;
  }

  /**
   * For {@code seconds}, delivers a copy of each heartbeat to a random controller after a random
   * delay of {@code minDelay} to {@code maxDelay} seconds.
   */
  public void duplicateDuring(double seconds, double minDelay, double maxDelay) {
    duplicateUntil = timeline.seconds() + seconds;
    minDelaySeconds = minDelay;
    maxDelaySeconds = maxDelay;
  }

  /** Called for every heartbeat that a worker sends. */
  void heartbeatSent(String machine, String body) {
    keep(machine, body);
    if (timeline.seconds() < duplicateUntil) {
      double delay = minDelaySeconds + (maxDelaySeconds - minDelaySeconds) * timeline.random();
      int receiver = (int) (timeline.random() * controllers.size());
      deliver(controllers.get(receiver), delay, body);
    }
  }

  /**
   * Keeps a random sample. When a machine's queue is full, the newest copy is replaced so that the
   * oldest, most outdated ones stay.
   */
  private void keep(String machine, String body) {
    if (timeline.seconds() < keepUntil && timeline.random() < KEPT_FRACTION) {
      Deque<String> duplicates = keptByMachine.computeIfAbsent(machine, name -> new ArrayDeque<>());
      if (duplicates.size() == MAX_KEPT_PER_MACHINE) {
        duplicates.removeLast();
      }
      duplicates.addLast(body);
    }
  }

  /** Delivers all kept copies to all controllers; called when a leader's term begins. */
  public void deliverKept() {
    keptByMachine.values().forEach(duplicates -> duplicates.forEach(this::deliverToAll));
    keptByMachine.clear();
  }

  private void deliverToAll(String body) {
    for (SimulatedController controller : controllers) {
      deliver(controller, MAX_RELEASE_SECONDS * timeline.random(), body);
    }
  }

  /** Delivers a copy if the controller is running by then; the reply is discarded. */
  private void deliver(SimulatedController controller, double delay, String body) {
    timeline.after(
        delay,
        () -> {
          if (controller.alive()) {
            controller.handle("POST", "/checkin", body, reply -> {});
          }
        });
  }
}
