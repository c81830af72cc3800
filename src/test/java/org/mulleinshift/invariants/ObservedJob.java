package org.mulleinshift.invariants;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * A job as it was submitted, which of its tasks really ran, and what its user was told of it. Times
 * are seconds of virtual time.
 */
public final class ObservedJob {
  private static final String DEFAULT_TEAM = "t";

  private final String id;
  private final Map<String, String> fields;
  private final int taskCount;
  private final List<String> dependencies;
  private final Set<Integer> completedTasks = new HashSet<>();
  private boolean submitted;
  private double submittedAt;
  private boolean cancelRequested;
  private int starts;
  private OptionalDouble firstStartAt = OptionalDouble.empty();
  private double lastResponseAt;
  private String reportedPhase = "";
  private OptionalDouble acceptedAt = OptionalDouble.empty();
  private OptionalDouble doneAt = OptionalDouble.empty();
  private OptionalDouble cancelledAt = OptionalDouble.empty();
  private OptionalDouble terminalAt = OptionalDouble.empty();

  /**
   * A job that is not submitted yet.
   *
   * @param fields as a scenario gives them: {@code tasks}, {@code awaits}, {@code cpus} and others
   */
  public ObservedJob(String id, Map<String, String> fields) {
    this.id = id;
    this.fields = fields;
    this.dependencies =
        fields.containsKey("awaits") ? List.of(fields.get("awaits").split(",")) : List.of();
    this.taskCount = Integer.parseInt(fields.getOrDefault("tasks", "1"));
  }

  /** The identifier of the job in a task name {@code JOB/INDEX}. */
  public static String idOfTask(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  static int indexOfTask(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }

  /** The job's identifier. */
  public String id() {
    return id;
  }

  /** How many tasks the job has. */
  public int taskCount() {
    return taskCount;
  }

  /** Identifiers of the jobs that must be done before this one starts. */
  public List<String> dependencies() {
    return dependencies;
  }

  /** Whether the field is given. */
  public boolean has(String key) {
    return fields.containsKey(key);
  }

  /** The field's text, or the default if it is not given. */
  public String text(String key, String defaultValue) {
    return fields.getOrDefault(key, defaultValue);
  }

  /** The field's number, or the default if it is not given. */
  public double number(String key, double defaultValue) {
    return fields.containsKey(key) ? Double.parseDouble(fields.get(key)) : defaultValue;
  }

  /** Whether the field is {@code yes}, or the default if it is not given. */
  public boolean flag(String key, boolean defaultValue) {
    return fields.containsKey(key) ? fields.get(key).equals("yes") : defaultValue;
  }

  /** The team that the job is charged to. */
  public String team() {
    return text("team", DEFAULT_TEAM);
  }

  /** Processors that each task needs. */
  public double cpus() {
    return number("cpus", 1);
  }

  /** Records that the user submits the job for the first time. */
  public void submit(double now) {
    submitted = true;
    submittedAt = now;
  }

  /** Whether the user has submitted the job. */
  public boolean submitted() {
    return submitted;
  }

  /** When the user first submitted the job; 0 before that. */
  public double submittedAt() {
    return submittedAt;
  }

  /** Records that the user requests the job's cancellation. */
  public void requestCancellation() {
    cancelRequested = true;
  }

  /** Whether the user has requested the job's cancellation. */
  public boolean cancelRequested() {
    return cancelRequested;
  }

  void taskStarted(double now) {
    starts++;
    if (firstStartAt.isEmpty()) {
      firstStartAt = OptionalDouble.of(now);
    }
  }

  /** How many times tasks of the job started, repeated starts included. */
  public int starts() {
    return starts;
  }

  /** When the first task of the job started. */
  public OptionalDouble firstStartAt() {
    return firstStartAt;
  }

  void taskCompleted(int index) {
    completedTasks.add(index);
  }

  boolean isCompleted(int index) {
    return completedTasks.contains(index);
  }

  int completedCount() {
    return completedTasks.size();
  }

  boolean allTasksCompleted() {
    return completedTasks.size() >= taskCount;
  }

  void responseReceived(double now) {
    lastResponseAt = now;
    if (acceptedAt.isEmpty()) {
      acceptedAt = OptionalDouble.of(now);
    }
  }

  /** When the last response that knew the job arrived; 0 if none did. */
  double lastResponseAt() {
    return lastResponseAt;
  }

  /** Whether the user was told that the job is accepted. */
  public boolean accepted() {
    return acceptedAt.isPresent();
  }

  /** When the user was first told that the job is accepted. */
  public OptionalDouble acceptedAt() {
    return acceptedAt;
  }

  void reported(String phase, double now) {
    reportedPhase = phase;
    if (phase.equals("done")) {
      doneAt = firstOf(doneAt, now);
    } else if (phase.equals("cancelled")) {
      cancelledAt = firstOf(cancelledAt, now);
    } else {
      return;
    }
    terminalAt = firstOf(terminalAt, now);
  }

  private static OptionalDouble firstOf(OptionalDouble earlier, double now) {
    return earlier.isPresent() ? earlier : OptionalDouble.of(now);
  }

  /**
   * The phase that the user read last, not counting outdated ones after the end; empty at first.
   */
  public String reportedPhase() {
    return reportedPhase;
  }

  /** When the user was first told that the job is done. */
  public OptionalDouble doneAt() {
    return doneAt;
  }

  /** When the user was first told that the job is cancelled. */
  public OptionalDouble cancelledAt() {
    return cancelledAt;
  }

  /** When the user was first told that the job is done or cancelled. */
  public OptionalDouble terminalAt() {
    return terminalAt;
  }
}
