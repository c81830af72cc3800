package org.mulleinshift.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;

/**
 * Splitting a stored chunk that is longer than the limit on values takes several writes. The leader
 * may fail after any of them, and its successor must then load the same progress.
 */
class ChunkLayoutTest {
  private static final int TASK_COUNT = 730;
  private static final int MAX_VALUE_BYTES = 400;
  private static final String JOB_RECORD =
      """
      {"spec":{"ref":"run-1","lane":"work","crew":"t","shape":"batch","urgency":"standard",
       "pieces":730,"cpus":2.0,"cards":0.0,"ram_gb":4.0,"bundle":"img-1","pull_gb":0.0,
       "same_place":false,"spread":false,"loaner":true,"guess_s":10.0,"snapshot_s":0.0,
       "flush_s":0.0},"at":5,"cancelled":false}""";

  private static Job job() throws MalformedMessageException {
    KeyValue item = new KeyValue("a/run-1", Json.parseObject(JOB_RECORD), new Revision(3));
    return new Job(JobRecord.read(item).get());
  }

  /** Loads chunks in key order, as a new leader does. */
  private static Job load(Map<String, JsonNode> store) throws MalformedMessageException {
    Job job = job();
    for (Map.Entry<String, JsonNode> entry : store.entrySet()) {
      Chunk part = ChunkKey.parse(entry.getKey()).get().chunk();
      job.load(part, entry.getValue(), shard -> new ZoneId("a"));
    }
    return job;
  }

  private static List<String> describeTasks(Job job) {
    List<String> descriptions = new ArrayList<>();
    descriptions.add("done " + job.doneCount() + ", waiting " + job.waitingCount());
    job.assignments()
        .forEach(a -> descriptions.add(a.task() + " " + a.shard() + " " + a.attempt()));
    return descriptions;
  }

  private static String key(Chunk part) {
    return ChunkKey.format(new JobId("run-1"), part);
  }

  private static Job jobWithRandomProgress(Random random) throws MalformedMessageException {
    Job job = job();
    for (int index = 0; index < TASK_COUNT; index++) {
      int kind = random.nextInt(3);
      if (kind > 0) {
        ShardId shard = new ShardId("a-" + random.nextInt(40));
        TaskAssignment assignment =
            job.assign(index, shard, new ZoneId("a"), new Attempt(7L << 20));
        if (kind == 2) {
          job.taskDone(assignment, 1);
          job.onStored(List.of(), List.of(assignment), new Revision(4));
        }
      }
    }
    return job;
  }

  @Test
  void splittingResumesAfterEachStep() throws MalformedMessageException {
    Job old = jobWithRandomProgress(new Random(1));
    Map<String, JsonNode> store = new TreeMap<>();
    for (Chunk chunk : old.chunkLayout().live()) {
      store.put(key(chunk), old.progressValue(chunk));
    }
    List<String> expected = describeTasks(load(store));
    assertEquals(describeTasks(old), expected);
    int steps = 0;
    for (boolean more = true; more; steps++) {
      // In each step a new leader writes one part that fits and then fails.
      Job job = load(store);
      assertEquals(expected, describeTasks(job));
      for (Chunk part : List.copyOf(job.chunkLayout().live())) {
        splitOversized(job, part);
      }
      List<Chunk> unstored = job.chunkLayout().unstoredParts();
      more = !unstored.isEmpty();
      if (more) {
        Chunk part = unstored.get(steps % unstored.size());
        store.put(key(part), job.progressValue(part));
        assertTrue(StoreCodec.encodedLength(store.get(key(part))) <= MAX_VALUE_BYTES);
        job.chunkLayout().onStored(List.of(part));
      }
      job.chunkLayout().obsolete(0).forEach(part -> store.remove(key(part)));
      job.chunkLayout().obsolete(1).forEach(part -> store.remove(key(part)));
    }
    assertTrue(steps > 20, steps + " steps");
    assertTrue(
        store.values().stream().allMatch(v -> StoreCodec.encodedLength(v) <= MAX_VALUE_BYTES));
  }

  private static void splitOversized(Job job, Chunk part) {
    if (StoreCodec.encodedLength(job.progressValue(part)) > MAX_VALUE_BYTES && part.canSplit()) {
      job.split(part);
      splitOversized(job, part.half(0));
      if (job.chunkLayout().hasTasksOf(part.half(1))) {
        splitOversized(job, part.half(1));
      }
    }
  }
}
