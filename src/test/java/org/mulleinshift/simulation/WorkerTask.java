package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** One attempt of a task on a worker. */
final class WorkerTask {
  /** The phases that a worker reports to controllers. */
  enum Phase {
    FETCHING("fetching"),
    RUNNING("running"),
    EXITED("exited");

    private final String reported;

    Phase(String reported) {
      this.reported = reported;
    }
  }

  private final String name;
  private final long attempt;
  private Phase phase = Phase.FETCHING;
  private String cause;
  private boolean started;

  WorkerTask(String name, long attempt) {
    this.name = name;
    this.attempt = attempt;
  }

  static String key(String name, long attempt) {
    return name + " " + attempt;
  }

  String key() {
    return key(name, attempt);
  }

  String name() {
    return name;
  }

  boolean fetching() {
    return phase == Phase.FETCHING;
  }

  boolean running() {
    return phase == Phase.RUNNING;
  }

  boolean exited() {
    return phase == Phase.EXITED;
  }

  void start() {
    phase = Phase.RUNNING;
    started = true;
  }

  /** Whether the task's process was ever started, even if it has exited. */
  boolean started() {
    return started;
  }

  void exit(String reason) {
    phase = Phase.EXITED;
    cause = reason;
  }

  void describe(ObjectNode item) {
    item.put("piece", name);
    item.put("try", attempt);
    item.put("phase", phase.reported);
    if (cause != null) {
      item.put("cause", cause);
    }
  }
}
