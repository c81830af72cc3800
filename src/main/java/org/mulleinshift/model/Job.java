package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Function;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** An accepted job in the leader's memory: which tasks are done, assigned, waiting. */
public final class Job {
  /** States of a job. */
  public enum State {
    /** Jobs that it awaits are not all over: no task may be assigned. */
    AWAITING_DEPENDENCIES,
    /** Tasks may be assigned. */
    ACTIVE,
    /** Cancelled: no task may start, all must go. */
    CANCELLING,
    /** All tasks are done or gone; the end is being stored. */
    ENDING,
    /** The end is stored. */
    ENDED
  }

  /** Tasks whose progress shares a key; keeps values far below the store's limit. */
  public static final int CHUNK = 500;

  /** Of an entry of tasks at a shard: shard, attempt, tasks. */
  private static final int AT_FIELDS = 3;

  private static final double NO_DEADLINE_SECONDS = 86_400;

  private static final String READY = "ready";

  private final JobSpec spec;
  private final JobDependencies dependencies;
  private final long acceptedMillis;
  private final ChunkLayout chunks;
  private OptionalLong readyMillis = OptionalLong.empty();
  private Inherited inherited = Inherited.NONE;
  private Revision revision;
  private State state;
  private final Map<Chunk, UnknownFields> unknownFields = new HashMap<>();
  private final BitSet done = new BitSet();
  private final BitSet assigned = new BitSet();
  private final BitSet unavailable = new BitSet();
  private final NavigableMap<Integer, TaskAssignment> assignments = new TreeMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Map<Integer, MonotonicTime> retryAfter = new HashMap<>();
  private final Map<ZoneId, Integer> assignedPerZone = new HashMap<>();
  private OptionalLong startedMillis = OptionalLong.empty();
  private boolean inheritedProgress;
  private OptionalLong releasedMillis = OptionalLong.empty();
  private OptionalLong firstAssignedMillis = OptionalLong.empty();
  private int failures;
  private double runSecondsTotal;
  private int runCount;
  private boolean cancelled;

  /**
   * What a job takes over from those that need it.
   *
   * @param deadlineMillis by when it should be complete; far off if none of them has a deadline
   */
  public record Inherited(Priority priority, long deadlineMillis) {
    public static final Inherited NONE = new Inherited(Priority.LOW, Long.MAX_VALUE);
  }

  public Job(JobRecord record) {
    this.spec = record.spec();
    this.dependencies = record.dependencies();
    this.chunks = new ChunkLayout(spec.tasks());
    this.acceptedMillis = record.acceptedMillis();
    this.revision = record.revision();
    this.cancelled = record.cancelled();
    this.state =
        cancelled
            ? State.CANCELLING
            : dependencies.isEmpty() ? State.ACTIVE : State.AWAITING_DEPENDENCIES;
  }

  /** The only place where a job's state changes. */
  private void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(spec.id() + ": " + state + " to " + next);
    }
    state = next;
  }

  /** Takes over what the store says of the job, cancellations above all. */
  public void update(JobRecord record) {
    revision = record.revision();
    if (record.cancelled()) {
      // Stored, so the user was told or will be: the end is cancelled even if all tasks complete
      // before they could be stopped, or our own end was about to be stored.
      cancel();
    }
  }

  /** Its user asked for it, or for the end of a job that it needs. */
  public void cancel() {
    cancelled = true;
    if (state == State.AWAITING_DEPENDENCIES || state == State.ACTIVE) {
      transitionTo(State.CANCELLING);
    }
  }

  /** All that it awaits is stored as done, the last of it at that time of day; known now. */
  public void release(long atMillis, long nowMillis) {
    release(atMillis);
    releasedMillis = OptionalLong.of(nowMillis);
  }

  private void release(long atMillis) {
    readyMillis = OptionalLong.of(Math.max(acceptedMillis, atMillis));
    if (state == State.AWAITING_DEPENDENCIES) {
      transitionTo(State.ACTIVE);
    }
  }

  public void inherit(Inherited next) {
    inherited = next;
  }

  /**
   * Reads one part of stored progress; nothing of it is taken over if any of it can't be read. It
   * takes the place of what was read of the part that it was cut from. Of a job that awaits others
   * it proves that they are over: no task is assigned before.
   */
  public void load(Chunk part, JsonNode value, Function<ShardId, ZoneId> zones)
      throws MalformedMessageException {
    int base = part.firstTask();
    int most = Math.min(part.size(), spec.tasks() - base);
    if (most <= 0) {
      throw new MalformedMessageException("progress of a part that the job does not have");
    }
    BitSet ended = TaskIndexRanges.read(value.path("done"), most);
    List<TaskAssignment> found = new ArrayList<>();
    if (!value.path("at").isArray()) {
      throw new MalformedMessageException("progress without its tasks at blocks");
    }
    for (JsonNode item : value.path("at")) {
      if (item.size() != AT_FIELDS) {
        // What else it says would be lost when the list is written again.
        throw new MalformedMessageException("progress with unknown fields of tasks at a block");
      }
      ShardId shard = new ShardId(Json.text(item, "b"));
      Attempt attempt = new Attempt(Json.count(item, "n", 0, Long.MAX_VALUE));
      TaskIndexRanges.read(item.path("r"), most).stream()
          .forEach(
              index ->
                  found.add(
                      new TaskAssignment(
                          new TaskId(spec.id(), base + index),
                          spec.perTask(),
                          shard,
                          zones.apply(shard),
                          attempt,
                          TaskAssignment.State.STORED)));
    }
    if (!dependencies.isEmpty()) {
      release(value.path(READY).asLong(acceptedMillis));
    }
    inheritedProgress |= !ended.isEmpty() || !found.isEmpty();
    chunks.onFound(part);
    clear(base, base + most);
    ended.stream().forEach(index -> markDone(base + index));
    found.forEach(this::add);
    unknownFields.remove(part);
    UnknownFields.beyond(progress(part), value).ifPresent(more -> unknownFields.put(part, more));
  }

  private void clear(int from, int to) {
    for (TaskAssignment old : List.copyOf(assignments.subMap(from, to).values())) {
      assignments.remove(old.task().index());
      assignedPerZone.merge(old.zone(), -1, (a, b) -> a + b == 0 ? null : a + b);
    }
    done.clear(from, to);
    assigned.clear(from, to);
    unavailable.clear(from, to);
  }

  /** The stored form of a part. */
  public JsonNode progress(Chunk part) {
    int base = part.firstTask();
    ObjectNode node = Json.object();
    node.put("done", TaskIndexRanges.write(done.get(base, base + part.size())));
    if (!dependencies.isEmpty()) {
      node.put(READY, readyMillis());
    }
    Map<String, BitSet> groups = new LinkedHashMap<>();
    for (TaskAssignment assignment : assignments(part)) {
      int index = assignment.task().index() - base;
      if (assignment.state() != TaskAssignment.State.ENDED) {
        groups
            .computeIfAbsent(assignment.attempt() + " " + assignment.shard(), key -> new BitSet())
            .set(index);
      }
    }
    ArrayNode at = node.putArray("at");
    groups.forEach(
        (key, set) -> {
          int space = key.indexOf(' ');
          ObjectNode item = at.addObject();
          item.put("b", key.substring(space + 1));
          item.put("n", Long.parseLong(key.substring(0, space)));
          item.put("r", TaskIndexRanges.write(set));
        });
    Optional.ofNullable(unknownFields.get(part)).ifPresent(more -> more.restore(node));
    return node;
  }

  /** How its progress is cut into keys. */
  public ChunkLayout chunks() {
    return chunks;
  }

  /** What a task's progress is written to from now on. */
  public Chunk chunkOf(int index) {
    return chunks.chunkOf(index);
  }

  /** Its progress no longer fits into a value. */
  public void split(Chunk part) {
    chunks.split(part);
    Optional.ofNullable(unknownFields.remove(part))
        .ifPresent(more -> unknownFields.put(part.half(0), more));
  }

  /**
   * Entrusts a task to a shard. The attempt counts the task's own tries within the term, so that
   * tasks of a shard share it and the stored form stays short however slowly a job gets its room.
   */
  public TaskAssignment assign(int index, ShardId shard, ZoneId zone, Attempt firstOfTerm) {
    int earlier = attempts.merge(index, 1, Integer::sum) - 1;
    Attempt attempt = new Attempt(firstOfTerm.value() + earlier);
    TaskAssignment assignment =
        new TaskAssignment(
            new TaskId(spec.id(), index),
            spec.perTask(),
            shard,
            zone,
            attempt,
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

  public void taskDone(TaskAssignment assignment, double runSeconds) {
    assignment.end();
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

  /** The task is provably nowhere; it may be tried again after the pause. */
  public void taskReturned(TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    assignment.end();
    notBefore.ifPresent(time -> retryAfter.put(assignment.task().index(), time));
  }

  /** A task of it runs. */
  public void markStarted(long atMillis) {
    if (startedMillis.isEmpty() && !inheritedProgress) {
      startedMillis = OptionalLong.of(atMillis);
    }
  }

  /** A first task of it was stored as assigned, and its owner hears of it. */
  public void markFirstAssigned(long atMillis) {
    if (firstAssignedMillis.isEmpty()) {
      firstAssignedMillis = OptionalLong.of(atMillis);
    }
  }

  /** How long each step took from the last end that it awaited, if this leader saw all of them. */
  private String dependencyLatency() {
    if (releasedMillis.isEmpty() || firstAssignedMillis.isEmpty() || startedMillis.isEmpty()) {
      return "";
    }
    return String.format(
        ", hand-on: end known %d ms, told %d ms, runs %d ms",
        releasedMillis.getAsLong() - readyMillis(),
        firstAssignedMillis.getAsLong() - releasedMillis.getAsLong(),
        startedMillis.getAsLong() - firstAssignedMillis.getAsLong());
  }

  /** Whether any of its tasks ran or was sent out, as far as this leader or the store knows. */
  public boolean hasStarted() {
    return startedMillis.isPresent() || inheritedProgress;
  }

  /** How it fared, for operators. */
  public String summary(long nowMillis) {
    String begun =
        startedMillis.isPresent()
            ? Math.max(0, (startedMillis.getAsLong() - readyMillis()) / 1000) + " s"
            : "an unknown time";
    return String.format(
        "%d tasks of %s, begun after %s, over after %d s, due %s%s",
        spec.tasks(),
        spec.jobClass(),
        begun,
        (nowMillis - acceptedMillis) / 1000,
        spec.deadlineSeconds().isPresent()
            ? Math.round(spec.deadlineSeconds().getAsDouble()) + " s"
            : "at no time",
        dependencyLatency());
  }

  public void countFailure() {
    failures++;
  }

  /** What was decided for the chunk is stored: the new may be told, the ended forgotten. */
  public void stored(
      Collection<TaskAssignment> written, Collection<TaskAssignment> ended, Revision revision) {
    written.forEach(assignment -> assignment.markStored(revision));
    for (TaskAssignment assignment : ended) {
      int index = assignment.task().index();
      if (assignments.remove(index, assignment)) {
        assigned.clear(index);
        unavailable.set(index, done.get(index));
        assignedPerZone.merge(assignment.zone(), -1, (a, b) -> a + b == 0 ? null : a + b);
      }
    }
  }

  public void beginEnding() {
    transitionTo(State.ENDING);
  }

  public void finishEnding() {
    transitionTo(State.ENDED);
    assignments.clear();
    assigned.clear();
    assignedPerZone.clear();
  }

  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && done.cardinality() == spec.tasks();
  }

  /** Cancelled, and provably no task of it is anywhere. */
  public boolean drained() {
    return state == State.CANCELLING
        && assignments.values().stream().allMatch(d -> d.state() == TaskAssignment.State.ENDED);
  }

  public boolean cancelled() {
    return cancelled;
  }

  public JobPhase terminalPhase() {
    return cancelled ? JobPhase.CANCELLED : JobPhase.DONE;
  }

  public JobSpec spec() {
    return spec;
  }

  /** Of its user's asking, or of those that need it. */
  public Priority priority() {
    return inherited.priority().above(spec.priority()) ? inherited.priority() : spec.priority();
  }

  /**
   * When it should be complete, by the time of day; far off for a job without a deadline that
   * nothing with a deadline needs.
   */
  public long deadlineMillis() {
    double own = spec.deadlineSeconds().orElse(NO_DEADLINE_SECONDS);
    return Math.min(inherited.deadlineMillis(), acceptedMillis + (long) (1000 * own));
  }

  public boolean hasDeadline() {
    return spec.deadlineSeconds().isPresent() || inherited.deadlineMillis() < Long.MAX_VALUE;
  }

  public JobDependencies dependencies() {
    return dependencies;
  }

  /** From when it could run: all times but the deadline count from then. */
  public long readyMillis() {
    return readyMillis.orElse(acceptedMillis);
  }

  public long acceptedMillis() {
    return acceptedMillis;
  }

  public Revision revision() {
    return revision;
  }

  public State state() {
    return state;
  }

  public int failures() {
    return failures;
  }

  public Collection<TaskAssignment> assignments() {
    return assignments.values();
  }

  /** The assignments of a part of the job. */
  public Collection<TaskAssignment> assignments(Chunk part) {
    return assignments.subMap(part.firstTask(), part.firstTask() + part.size()).values();
  }

  public Optional<TaskAssignment> assignment(int index) {
    return Optional.ofNullable(assignments.get(index));
  }

  public int assignedIn(ZoneId zone) {
    return assignedPerZone.getOrDefault(zone, 0);
  }

  public Map<ZoneId, Integer> assignedPerZone() {
    return assignedPerZone;
  }

  public int doneCount() {
    return done.cardinality();
  }

  public int runningCount() {
    int count = 0;
    for (TaskAssignment assignment : assignments.values()) {
      count += assignment.state() == TaskAssignment.State.RUNNING ? 1 : 0;
    }
    return count;
  }

  public int assignedCount() {
    return assigned.cardinality();
  }

  public int waitingCount() {
    return spec.tasks() - unavailable.cardinality();
  }

  /** Up to {@code most} tasks that may be tried now. */
  public int[] waiting(int most, MonotonicTime now) {
    int[] found = new int[Math.min(most, spec.tasks())];
    int count = 0;
    for (int index = unavailable.nextClearBit(0);
        index < spec.tasks() && count < found.length;
        index = unavailable.nextClearBit(index + 1)) {
      MonotonicTime until = retryAfter.get(index);
      if (until == null || !until.isAfter(now)) {
        found[count++] = index;
      }
    }
    return java.util.Arrays.copyOf(found, count);
  }

  /** Mean run time of this job's finished tasks. */
  public Optional<Double> meanRunSeconds() {
    return runCount == 0 ? Optional.empty() : Optional.of(runSecondsTotal / runCount);
  }

  public Resources assignedResources() {
    return spec.perTask().times(assignments.size());
  }
}
