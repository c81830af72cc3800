package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;

/**
 * The progress of one chunk of a job. Its stored form lists the completed tasks, and the assigned
 * tasks grouped by shard and attempt.
 *
 * @param firstTask index of the chunk's first task
 * @param endTask index after the chunk's last task
 * @param done the completed tasks, by index relative to {@code firstTask}
 */
record ChunkProgress(int firstTask, int endTask, BitSet done, List<TaskAssignment> assignments) {
  private static final String DONE = "done";
  private static final String READY = "ready";
  private static final String ASSIGNED = "at";
  private static final String SHARD = "b";
  private static final String ATTEMPT = "n";
  private static final String TASKS = "r";

  /** Number of fields of an entry of assigned tasks: shard, attempt and tasks. */
  private static final int ASSIGNED_FIELDS = 3;

  /** What assigned tasks that are stored in one entry have in common. */
  private record Group(Attempt attempt, ShardId shard) {}

  boolean isEmpty() {
    return done.isEmpty() && assignments.isEmpty();
  }

  /**
   * Returns the stored form; assignments that have ended are left out.
   *
   * @param done the completed tasks, by index relative to the chunk's first task
   * @param readyMillis wall-clock time from which the job could run; only for a job with
   *     dependencies
   */
  static ObjectNode write(
      Chunk chunk, BitSet done, Collection<TaskAssignment> assignments, OptionalLong readyMillis) {
    ObjectNode node = Json.object();
    node.put(DONE, TaskIndexRanges.write(done));
    readyMillis.ifPresent(millis -> node.put(READY, millis));
    ArrayNode assigned = node.putArray(ASSIGNED);
    group(chunk, assignments)
        .forEach(
            (group, tasks) -> {
              ObjectNode item = assigned.addObject();
              item.put(SHARD, group.shard().value());
              item.put(ATTEMPT, group.attempt().value());
              item.put(TASKS, TaskIndexRanges.write(tasks));
            });
    return node;
  }

  private static Map<Group, BitSet> group(Chunk chunk, Collection<TaskAssignment> assignments) {
    Map<Group, BitSet> groups = new LinkedHashMap<>();
    for (TaskAssignment assignment : assignments) {
      if (assignment.state() != TaskAssignment.State.ENDED) {
        groups
            .computeIfAbsent(
                new Group(assignment.attempt(), assignment.shard()), key -> new BitSet())
            .set(assignment.task().index() - chunk.firstTask());
      }
    }
    return groups;
  }

  /**
   * Reads the stored form.
   *
   * @param zones returns the zone of a shard
   * @throws MalformedMessageException if any part of it can't be read
   */
  static ChunkProgress read(
      JobSpec spec, Chunk chunk, JsonNode value, Function<ShardId, ZoneId> zones)
      throws MalformedMessageException {
    int size = Math.min(chunk.size(), spec.taskCount() - chunk.firstTask());
    if (size <= 0) {
      throw new MalformedMessageException("the job has no tasks in this chunk");
    }
    BitSet done = TaskIndexRanges.read(value.path(DONE), size);
    if (!value.path(ASSIGNED).isArray()) {
      throw new MalformedMessageException("progress has no list of assigned tasks");
    }
    List<TaskAssignment> assignments = new ArrayList<>();
    for (JsonNode item : value.path(ASSIGNED)) {
      assignments.addAll(readGroup(spec, chunk, size, item, zones));
    }
    return new ChunkProgress(chunk.firstTask(), chunk.firstTask() + size, done, assignments);
  }

  /** Returns the wall-clock time from which the job could run, or the default if none is stored. */
  static long readReadyMillis(JsonNode value, long defaultMillis) {
    return value.path(READY).asLong(defaultMillis);
  }

  private static List<TaskAssignment> readGroup(
      JobSpec spec, Chunk chunk, int size, JsonNode item, Function<ShardId, ZoneId> zones)
      throws MalformedMessageException {
    if (item.size() != ASSIGNED_FIELDS) {
      // Unknown fields would be lost when the list is written again.
      throw new MalformedMessageException("entry of assigned tasks has unknown or missing fields");
    }
    ShardId shard = new ShardId(Json.text(item, SHARD));
    Attempt attempt = new Attempt(Json.count(item, ATTEMPT, 0, Long.MAX_VALUE));
    return TaskIndexRanges.read(item.path(TASKS), size).stream()
        .mapToObj(
            index ->
                new TaskAssignment(
                    new TaskId(spec.id(), chunk.firstTask() + index),
                    spec.perTask(),
                    shard,
                    zones.apply(shard),
                    attempt,
                    TaskAssignment.State.STORED))
        .toList();
  }
}
