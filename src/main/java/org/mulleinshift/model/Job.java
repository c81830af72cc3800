package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** An accepted job in the leader's memory: its life cycle, its tasks and their progress. */
public final class Job {
  /** States of a job, in the order in which it passes through them. */
  public enum State {
    /** Not all dependencies are done: no task may be assigned. */
    AWAITING_DEPENDENCIES,
    /** Tasks may be assigned. */
    ACTIVE,
    /** Cancelled: no task may start and all running tasks must stop. */
    CANCELLING,
    /** All tasks are done or stopped; the job's end is being stored. */
    ENDING,
    /** The job's end is stored. */
    ENDED
  }

  private static final double DEFAULT_DEADLINE_SECONDS = 86_400;
  private static final int MILLIS_PER_SECOND = 1000;

  /**
   * The priority and deadline that a job inherits from the jobs that depend on it.
   *
   * @param deadlineMillis wall-clock time by which the job should be complete; {@link
   *     Long#MAX_VALUE} if none of them has a deadline
   */
  public record InheritedPriority(Priority priority, long deadlineMillis) {
    /** The value for a job that no other job depends on. */
    public static final InheritedPriority NONE =
        new InheritedPriority(Priority.LOW, Long.MAX_VALUE);
  }

  private final JobSpec spec;
  private final JobDependencies dependencies;
  private final ChunkLayout chunkLayout;
  private final JobTasks tasks;
  private final JobTimeline timeline;
  private final Map<Chunk, UnknownFields> unknownFields = new HashMap<>();
  private InheritedPriority inherited = InheritedPriority.NONE;
  private Revision revision;
  private State state;
  private int failures;
  private boolean cancelled;

  /** Creates a job without progress from its stored record. */
  public Job(JobRecord record) {
    this.spec = record.spec();
    this.dependencies = record.dependencies();
    this.chunkLayout = new ChunkLayout(spec.taskCount());
    this.tasks = new JobTasks(spec);
    this.timeline = new JobTimeline(record.acceptedMillis());
    this.revision = record.revision();
    this.cancelled = record.cancelled();
    this.state = initialState(record);
  }

  private static State initialState(JobRecord record) {
    if (record.cancelled()) {
      return State.CANCELLING;
    }
    return record.dependencies().isEmpty() ? State.ACTIVE : State.AWAITING_DEPENDENCIES;
  }

  /** Changes the state; all state changes go through this method. */
  private void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(
          "job " + spec.id() + ": invalid state transition from " + state + " to " + next);
    }
    state = next;
  }

  /** Adopts the revision and a cancellation from the job's current stored record. */
  public void update(JobRecord record) {
    revision = record.revision();
    if (record.cancelled()) {
      // A stored cancellation has been or will be acknowledged to the user. So the job ends as
      // cancelled even if its tasks complete first or its end was about to be stored as done.
      cancel();
    }
  }

  /** Cancels the job, because its user cancelled it or a job that it depends on was cancelled. */
  public void cancel() {
    cancelled = true;
    if (state == State.AWAITING_DEPENDENCIES || state == State.ACTIVE) {
      transitionTo(State.CANCELLING);
    }
  }

  /**
   * Lets the job run, because all its dependencies are stored as done.
   *
   * @param lastEndMillis wall-clock time at which the last dependency ended
   * @param learnedMillis wall-clock time at which this leader learned of that
   */
  public void release(long lastEndMillis, long learnedMillis) {
    markReady(lastEndMillis);
    timeline.markReleased(learnedMillis);
  }

  private void markReady(long lastEndMillis) {
    timeline.markReady(lastEndMillis);
    if (state == State.AWAITING_DEPENDENCIES) {
      transitionTo(State.ACTIVE);
    }
  }

  /** Replaces the priority and deadline that it inherits from jobs that depend on it. */
  public void setInheritedPriority(InheritedPriority newPriority) {
    inherited = newPriority;
  }

  /**
   * Loads the stored progress of one chunk, replacing what was loaded for these tasks from a chunk
   * that it was split from. Stored progress of a job with dependencies implies that they are done,
   * since no task is assigned before that.
   *
   * @param zones returns the zone of a shard
   * @throws MalformedMessageException if any part can't be read; then nothing is loaded
   */
  public void load(Chunk chunk, JsonNode value, Function<ShardId, ZoneId> zones)
      throws MalformedMessageException {
    ChunkProgress progress = ChunkProgress.read(spec, chunk, value, zones);
    if (!dependencies.isEmpty()) {
      markReady(ChunkProgress.readReadyMillis(value, timeline.acceptedMillis()));
    }
    if (!progress.isEmpty()) {
      timeline.markInheritedProgress();
    }
    chunkLayout.onLoaded(chunk);
    tasks.load(progress);
    unknownFields.remove(chunk);
    UnknownFields.find(progressValue(chunk), value)
        .ifPresent(fields -> unknownFields.put(chunk, fields));
  }

  /** Returns the stored form of a chunk's progress, with the unknown fields it was loaded with. */
  public JsonNode progressValue(Chunk chunk) {
    OptionalLong readyMillis =
        dependencies.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timeline.readyMillis());
    ObjectNode node =
        ChunkProgress.write(chunk, tasks.done(chunk), tasks.assignments(chunk), readyMillis);
    Optional.ofNullable(unknownFields.get(chunk)).ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** Returns how its progress is split into chunks. */
  public ChunkLayout chunkLayout() {
    return chunkLayout;
  }

  /** Returns the chunk that a task's progress is written to. */
  public Chunk chunkOf(int index) {
    return chunkLayout.chunkOf(index);
  }

  /** Splits a chunk whose progress no longer fits into a stored value. */
  public void split(Chunk chunk) {
    chunkLayout.split(chunk);
    Optional.ofNullable(unknownFields.remove(chunk))
        .ifPresent(fields -> unknownFields.put(chunk.half(0), fields));
  }

  /**
   * Assigns a task to a shard.
   *
   * @param firstOfTerm the attempt for tasks that were not yet assigned within the term
   */
  public TaskAssignment assign(int index, ShardId shard, ZoneId zone, Attempt firstOfTerm) {
    return tasks.assign(index, shard, zone, firstOfTerm);
  }

  /**
   * Marks a task as completed.
   *
   * @param runSeconds its run time; 0 if it is not known
   */
  public void taskDone(TaskAssignment assignment, double runSeconds) {
    tasks.onDone(assignment, runSeconds);
  }

  /**
   * Ends the assignment of a task that certainly no longer runs. Once that is stored, the task may
   * be assigned again, but not before the given time.
   */
  public void requeueTask(TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    tasks.requeue(assignment, notBefore);
  }

  /** Records when a task runs; only the first time counts. */
  public void markStarted(long atMillis) {
    timeline.markStarted(atMillis);
  }

  /** Records when the assignment of a task was stored; only the first time counts. */
  public void markFirstAssigned(long atMillis) {
    timeline.markFirstAssigned(atMillis);
  }

  /** Whether this leader saw a task run or loaded stored progress that is not empty. */
  public boolean hasStarted() {
    return timeline.hasStarted();
  }

  /** Returns a summary of the job's run as {@code key=value} fields of a log line. */
  public String summary(long nowMillis) {
    return timeline.summary(spec, nowMillis);
  }

  /** Counts a failed attempt of a task. */
  public void countFailure() {
    failures++;
  }

  /**
   * Records that assignments and ends of assignments are stored: the new ones may be published, the
   * ended ones are removed.
   */
  public void onStored(
      Collection<TaskAssignment> written, Collection<TaskAssignment> ended, Revision revision) {
    tasks.onStored(written, ended, revision);
  }

  /** Records that its end is being stored. */
  public void beginEnding() {
    transitionTo(State.ENDING);
  }

  /** Records that its end is stored, and forgets its assignments. */
  public void finishEnding() {
    transitionTo(State.ENDED);
    tasks.clearAssignments();
  }

  /** Whether all tasks are done; a service is never complete. */
  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && tasks.allDone();
  }

  /** Whether it was cancelled, its end is not yet being stored and no task can still be running. */
  public boolean stoppedAfterCancellation() {
    return state == State.CANCELLING && tasks.allEnded();
  }

  /** Whether it was cancelled, by its user or because a dependency was cancelled. */
  public boolean cancelled() {
    return cancelled;
  }

  /** Returns the phase in which it ends or has ended. */
  public JobPhase terminalPhase() {
    return cancelled ? JobPhase.CANCELLED : JobPhase.DONE;
  }

  /** Returns the job as submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the higher of its own priority and the one inherited from jobs that depend on it. */
  public Priority priority() {
    return inherited.priority().isAbove(spec.priority()) ? inherited.priority() : spec.priority();
  }

  /**
   * Returns the wall-clock time by which it should be complete: the earlier of its own deadline and
   * the inherited one. A job without its own deadline is given one 24 hours after its acceptance.
   */
  public long deadlineMillis() {
    double own = spec.deadlineSeconds().orElse(DEFAULT_DEADLINE_SECONDS);
    return Math.min(
        inherited.deadlineMillis(), acceptedMillis() + (long) (MILLIS_PER_SECOND * own));
  }

  /** Whether the job, or one that depends on it, has a deadline. */
  public boolean hasDeadline() {
    return spec.deadlineSeconds().isPresent() || inherited.deadlineMillis() < Long.MAX_VALUE;
  }

  /** Returns the jobs that must be done before it may run. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /**
   * Returns the wall-clock time from which it could run: its acceptance, or a later end of its last
   * dependency. Waiting times count from then; the deadline counts from acceptance.
   */
  public long readyMillis() {
    return timeline.readyMillis();
  }

  /** Returns the wall-clock time at which it was accepted. */
  public long acceptedMillis() {
    return timeline.acceptedMillis();
  }

  /** Returns the store revision of its record. */
  public Revision revision() {
    return revision;
  }

  /** Returns its current state. */
  public State state() {
    return state;
  }

  /** Returns the number of failed task attempts within the term. */
  public int failures() {
    return failures;
  }

  /** Returns all assignments, ordered by task index; ended ones until their end is stored. */
  public Collection<TaskAssignment> assignments() {
    return tasks.assignments();
  }

  /** Returns the assignments of a chunk's tasks, ordered by task index. */
  public Collection<TaskAssignment> assignments(Chunk chunk) {
    return tasks.assignments(chunk);
  }

  /** Returns the assignment of a task; empty if it has none. */
  public Optional<TaskAssignment> assignment(int index) {
    return tasks.assignment(index);
  }

  /** Returns the number of tasks that are assigned to shards of the zone. */
  public int assignedIn(ZoneId zone) {
    return tasks.assignedPerZone().getOrDefault(zone, 0);
  }

  /** Returns the number of assigned tasks per zone; zones without any are left out. */
  public Map<ZoneId, Integer> assignedPerZone() {
    return tasks.assignedPerZone();
  }

  /** Returns the number of completed tasks. */
  public int doneCount() {
    return tasks.doneCount();
  }

  /** Returns the number of running tasks. */
  public int runningCount() {
    return tasks.runningCount();
  }

  /** Returns the number of assigned tasks, including ended ones until their end is stored. */
  public int assignedCount() {
    return tasks.assignedCount();
  }

  /** Returns the number of tasks that are neither done nor assigned. */
  public int waitingCount() {
    return tasks.waitingCount();
  }

  /** Returns the indexes of up to {@code limit} tasks that may be assigned now, in order. */
  public int[] assignableTasks(int limit, MonotonicTime now) {
    return tasks.assignableTasks(limit, now);
  }

  /** Returns the mean run time of the tasks that this leader saw complete; empty if none. */
  public Optional<Double> meanRunSeconds() {
    return tasks.meanRunSeconds();
  }

  /** Returns the total resources that its assigned tasks request. */
  public Resources assignedResources() {
    return tasks.assignedResources();
  }
}
