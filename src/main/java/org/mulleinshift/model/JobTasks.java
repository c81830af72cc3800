package org.mulleinshift.model;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** The tasks of one job: which are done, assigned or waiting, and when they may be retried. */
final class JobTasks {
  private final JobSpec spec;
  private final BitSet done = new BitSet();
  private final BitSet assigned = new BitSet();

  /** Tasks that are done or assigned. */
  private final BitSet unavailable = new BitSet();

  private final NavigableMap<Integer, TaskAssignment> assignments = new TreeMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Map<Integer, MonotonicTime> retryAfter = new HashMap<>();
  private final Map<ZoneId, Integer> assignedPerZone = new HashMap<>();
  private double runSecondsTotal;
  private int runCount;

  JobTasks(JobSpec spec) {
    this.spec = spec;
  }

  /** Replaces the state of a chunk's tasks by its stored progress. */
  void load(ChunkProgress progress) {
    clear(progress.firstTask(), progress.endTask());
    progress.done().stream().forEach(index -> markDone(progress.firstTask() + index));
    progress.assignments().forEach(this::add);
  }

  private void clear(int from, int to) {
    for (TaskAssignment old : List.copyOf(assignments.subMap(from, to).values())) {
      assignments.remove(old.task().index());
      removeFromZone(old.zone());
    }
    done.clear(from, to);
    assigned.clear(from, to);
    unavailable.clear(from, to);
  }

  private void removeFromZone(ZoneId zone) {
    assignedPerZone.merge(zone, -1, (a, b) -> a + b == 0 ? null : a + b);
  }

  /**
   * Assigns a task to a shard. Attempts are counted per task within the term, so most tasks of a
   * shard have the same attempt and are stored as one group, which keeps the stored form short.
   */
  TaskAssignment assign(int index, ShardId shard, ZoneId zone, Attempt firstOfTerm) {
    int earlierAttempts = attempts.merge(index, 1, Integer::sum) - 1;
    TaskAssignment assignment =
        new TaskAssignment(
            new TaskId(spec.id(), index),
            spec.perTask(),
            shard,
            zone,
            new Attempt(firstOfTerm.value() + earlierAttempts),
            TaskAssignment.State.WRITING);
    add(assignment);
    retryAfter.remove(index);
    return assignment;
  }

  private void add(TaskAssignment assignment) {
    if (assignments.put(assignment.task().index(), assignment) == null) {
      assigned.set(assignment.task().index());
      unavailable.set(assignment.task().index());
      assignedPerZone.merge(assignment.zone(), 1, Integer::sum);
    }
  }

  /** Marks a task as completed; its run time enters the mean if it is positive. */
  void onDone(TaskAssignment assignment, double runSeconds) {
    assignment.markEnded();
    markDone(assignment.task().index());
    attempts.remove(assignment.task().index());
    if (runSeconds > 0) {
      runSecondsTotal += runSeconds;
      runCount++;
    }
  }

  private void markDone(int index) {
    done.set(index);
    unavailable.set(index);
  }

  /**
   * Ends an assignment. Once that is stored, the task may be assigned again, but not before the
   * given time.
   */
  void requeue(TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    assignment.markEnded();
    notBefore.ifPresent(time -> retryAfter.put(assignment.task().index(), time));
  }

  /**
   * Records that assignments and ends of assignments are stored: the new ones may be published, the
   * ended ones are removed.
   */
  void onStored(
      Collection<TaskAssignment> written, Collection<TaskAssignment> ended, Revision revision) {
    written.forEach(assignment -> assignment.markStored(revision));
    for (TaskAssignment assignment : ended) {
      int index = assignment.task().index();
      if (assignments.remove(index, assignment)) {
        assigned.clear(index);
        unavailable.set(index, done.get(index));
        removeFromZone(assignment.zone());
      }
    }
  }

  /** Forgets all assignments, once the end of the job is stored. */
  void clearAssignments() {
    assignments.clear();
    assigned.clear();
    assignedPerZone.clear();
  }

  boolean allDone() {
    return done.cardinality() == spec.taskCount();
  }

  /** Whether all assignments have ended, so that no task can still be running. */
  boolean allEnded() {
    return assignments.values().stream()
        .allMatch(assignment -> assignment.state() == TaskAssignment.State.ENDED);
  }

  /** Returns the completed tasks of a chunk, by index relative to its first task. */
  BitSet done(Chunk chunk) {
    return done.get(chunk.firstTask(), chunk.firstTask() + chunk.size());
  }

  Collection<TaskAssignment> assignments() {
    return assignments.values();
  }

  Collection<TaskAssignment> assignments(Chunk chunk) {
    return assignments.subMap(chunk.firstTask(), chunk.firstTask() + chunk.size()).values();
  }

  Optional<TaskAssignment> assignment(int index) {
    return Optional.ofNullable(assignments.get(index));
  }

  Map<ZoneId, Integer> assignedPerZone() {
    return assignedPerZone;
  }

  int doneCount() {
    return done.cardinality();
  }

  int assignedCount() {
    return assigned.cardinality();
  }

  int waitingCount() {
    return spec.taskCount() - unavailable.cardinality();
  }

  int runningCount() {
    int count = 0;
    for (TaskAssignment assignment : assignments.values()) {
      count += assignment.state() == TaskAssignment.State.RUNNING ? 1 : 0;
    }
    return count;
  }

  /** Returns the indexes of up to {@code limit} tasks that may be assigned now, in order. */
  int[] assignableTasks(int limit, MonotonicTime now) {
    int[] found = new int[Math.min(limit, spec.taskCount())];
    int count = 0;
    for (int index = unavailable.nextClearBit(0);
        index < spec.taskCount() && count < found.length;
        index = unavailable.nextClearBit(index + 1)) {
      MonotonicTime notBefore = retryAfter.get(index);
      if (notBefore == null || !notBefore.isAfter(now)) {
        found[count++] = index;
      }
    }
    return Arrays.copyOf(found, count);
  }

  /** Returns the mean known run time of completed tasks; empty if there is none. */
  Optional<Double> meanRunSeconds() {
    return runCount == 0 ? Optional.empty() : Optional.of(runSecondsTotal / runCount);
  }

  Resources assignedResources() {
    return spec.perTask().times(assignments.size());
  }
}
