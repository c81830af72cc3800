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

/** An accepted job in the leader's memory: its life cycle, its tasks and their stored progress. */
public final class Job {
  /** States of a job, in the order in which it passes through them. */
  public enum State {
    /** Not all of its dependencies have ended: no task may be assigned. */
    AWAITING_DEPENDENCIES,
    /** Tasks may be assigned. */
    ACTIVE,
    /** Cancelled: no task may start, all must stop. */
    CANCELLING,
    /** All tasks are done or stopped; the end is being stored. */
    ENDING,
    /** The end is stored. */
    ENDED
  }

  private static final double DEFAULT_DEADLINE_SECONDS = 86_400;
  private static final int MILLIS_PER_SECOND = 1000;

  /**
   * What a job inherits from those that depend on it.
   *
   * @param deadlineMillis by when it should be complete; far off if none of them has a deadline
   */
  public record Inherited(Priority priority, long deadlineMillis) {
    /** Of a job that no other one depends on. */
    public static final Inherited NONE = new Inherited(Priority.LOW, Long.MAX_VALUE);
  }

  private final JobSpec spec;
  private final JobDependencies dependencies;
  private final ChunkLayout chunkLayout;
  private final JobTasks tasks;
  private final JobTimeline timeline;
  private final Map<Chunk, UnknownFields> unknownFields = new HashMap<>();
  private Inherited inherited = Inherited.NONE;
  private Revision revision;
  private State state;
  private int failures;
  private boolean cancelled;

  /** A job without progress, by its stored record. */
  public Job(JobRecord record) {
    this.spec = record.spec();
    this.dependencies = record.dependencies();
    this.chunkLayout = new ChunkLayout(spec.tasks());
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

  /** The only place where a job's state changes. */
  private void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(spec.id() + ": " + state + " to " + next);
    }
    state = next;
  }

  /** Adopts the job's record as it is stored now, a cancellation above all. */
  public void update(JobRecord record) {
    revision = record.revision();
    if (record.cancelled()) {
      // Stored, so the cancellation was or will be acknowledged: the job ends as cancelled even if
      // all tasks complete before they could be stopped, or our own end was about to be stored.
      cancel();
    }
  }

  /** Its user cancelled it, or a job that it depends on. */
  public void cancel() {
    cancelled = true;
    if (state == State.AWAITING_DEPENDENCIES || state == State.ACTIVE) {
      transitionTo(State.CANCELLING);
    }
  }

  /**
   * All of its dependencies are stored as done.
   *
   * @param lastEndMillis time of day at which the last of them ended
   * @param learnedMillis time of day at which this leader learned of it
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

  /** Sets what it inherits from jobs that depend on it, in place of what it inherited before. */
  public void inherit(Inherited next) {
    inherited = next;
  }

  /**
   * Loads the stored progress of one chunk; nothing of it is adopted if any of it can't be read. It
   * takes the place of what was loaded of the chunk that it was split from. Progress of a job with
   * dependencies shows that they have ended: no task is assigned before.
   *
   * @param zones the zone of each shard
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

  /** The stored form of a chunk's progress. */
  public JsonNode progressValue(Chunk chunk) {
    OptionalLong readyMillis =
        dependencies.isEmpty() ? OptionalLong.empty() : OptionalLong.of(timeline.readyMillis());
    ObjectNode node =
        ChunkProgress.write(chunk, tasks.done(chunk), tasks.assignments(chunk), readyMillis);
    Optional.ofNullable(unknownFields.get(chunk)).ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** How its progress is split into keys. */
  public ChunkLayout chunkLayout() {
    return chunkLayout;
  }

  /** The chunk to which a task's progress is written from now on. */
  public Chunk chunkOf(int index) {
    return chunkLayout.chunkOf(index);
  }

  /** Splits a chunk whose progress no longer fits into a value. */
  public void split(Chunk chunk) {
    chunkLayout.split(chunk);
    Optional.ofNullable(unknownFields.remove(chunk))
        .ifPresent(fields -> unknownFields.put(chunk.half(0), fields));
  }

  /**
   * Assigns a task to a shard.
   *
   * @param firstOfTerm the attempt of tasks that were not assigned before within the term
   */
  public TaskAssignment assign(int index, ShardId shard, ZoneId zone, Attempt firstOfTerm) {
    return tasks.assign(index, shard, zone, firstOfTerm);
  }

  /**
   * A task has completed.
   *
   * @param runSeconds its run time; 0 if that is not known
   */
  public void taskDone(TaskAssignment assignment, double runSeconds) {
    tasks.onDone(assignment, runSeconds);
  }

  /** The task is provably absent; it may be retried, but not before the given time. */
  public void requeueTask(TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    tasks.requeue(assignment, notBefore);
  }

  /** A task of it runs. */
  public void markStarted(long atMillis) {
    timeline.markStarted(atMillis);
  }

  /** A first task of it was stored as assigned, and is published to its owner. */
  public void markFirstAssigned(long atMillis) {
    timeline.markFirstAssigned(atMillis);
  }

  /** Whether any of its tasks ran or was assigned, as far as this leader or the store knows. */
  public boolean hasStarted() {
    return timeline.hasStarted();
  }

  /** How it fared, for operators. */
  public String summary(long nowMillis) {
    return timeline.summary(spec, nowMillis);
  }

  /** Counts a task's failed attempt. */
  public void countFailure() {
    failures++;
  }

  /** What was decided for a chunk is stored: the new may be published, the ended forgotten. */
  public void onStored(
      Collection<TaskAssignment> written, Collection<TaskAssignment> ended, Revision revision) {
    tasks.onStored(written, ended, revision);
  }

  /** Its end is being stored. */
  public void beginEnding() {
    transitionTo(State.ENDING);
  }

  /** Its end is stored. */
  public void finishEnding() {
    transitionTo(State.ENDED);
    tasks.clearAssignments();
  }

  /** Whether all tasks are done; a service is never complete. */
  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && tasks.allDone();
  }

  /** Cancelled, and provably no task of it is anywhere. */
  public boolean stoppedAfterCancellation() {
    return state == State.CANCELLING && tasks.allEnded();
  }

  /** Whether it was cancelled, by its own user or with a dependency. */
  public boolean cancelled() {
    return cancelled;
  }

  /** How it ends, or has ended. */
  public JobPhase terminalPhase() {
    return cancelled ? JobPhase.CANCELLED : JobPhase.DONE;
  }

  /** The job as submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The higher one of its own priority and that of jobs that depend on it. */
  public Priority priority() {
    return inherited.priority().isAbove(spec.priority()) ? inherited.priority() : spec.priority();
  }

  /**
   * When it should be complete, by the time of day; far off for a job without a deadline that
   * nothing with a deadline depends on.
   */
  public long deadlineMillis() {
    double own = spec.deadlineSeconds().orElse(DEFAULT_DEADLINE_SECONDS);
    return Math.min(
        inherited.deadlineMillis(), acceptedMillis() + (long) (MILLIS_PER_SECOND * own));
  }

  /** Whether it, or a job that depends on it, has a deadline. */
  public boolean hasDeadline() {
    return spec.deadlineSeconds().isPresent() || inherited.deadlineMillis() < Long.MAX_VALUE;
  }

  /** The jobs that must end before it may run. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** From when it could run: all times but the deadline count from then. */
  public long readyMillis() {
    return timeline.readyMillis();
  }

  /** Time of day at which it was accepted. */
  public long acceptedMillis() {
    return timeline.acceptedMillis();
  }

  /** Revision of its record. */
  public Revision revision() {
    return revision;
  }

  /** Its state. */
  public State state() {
    return state;
  }

  /** Failed attempts of its tasks within the term. */
  public int failures() {
    return failures;
  }

  /** All assignments, in the order of tasks. */
  public Collection<TaskAssignment> assignments() {
    return tasks.assignments();
  }

  /** The assignments of a chunk, in the order of tasks. */
  public Collection<TaskAssignment> assignments(Chunk chunk) {
    return tasks.assignments(chunk);
  }

  /** The assignment of a task, if it has one. */
  public Optional<TaskAssignment> assignment(int index) {
    return tasks.assignment(index);
  }

  /** How many tasks are assigned to shards of the zone. */
  public int assignedIn(ZoneId zone) {
    return tasks.assignedPerZone().getOrDefault(zone, 0);
  }

  /** How many tasks are assigned by zone; zones without any are left out. */
  public Map<ZoneId, Integer> assignedPerZone() {
    return tasks.assignedPerZone();
  }

  /** How many tasks are done. */
  public int doneCount() {
    return tasks.doneCount();
  }

  /** How many tasks run. */
  public int runningCount() {
    return tasks.runningCount();
  }

  /** How many tasks are assigned. */
  public int assignedCount() {
    return tasks.assignedCount();
  }

  /** How many tasks are neither done nor assigned. */
  public int waitingCount() {
    return tasks.waitingCount();
  }

  /** Up to {@code limit} tasks that may be assigned now. */
  public int[] assignableTasks(int limit, MonotonicTime now) {
    return tasks.assignableTasks(limit, now);
  }

  /** Mean run time of its tasks that this leader saw complete. */
  public Optional<Double> meanRunSeconds() {
    return tasks.meanRunSeconds();
  }

  /** The resources that its assigned tasks request together. */
  public Resources assignedResources() {
    return tasks.assignedResources();
  }
}
