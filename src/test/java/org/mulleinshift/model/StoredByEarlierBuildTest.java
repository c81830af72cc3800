package org.mulleinshift.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.store.StoreKeys;

/**
 * Reads what the build of commit e61c2b1 had stored after 27 s: partly completed jobs, one that had
 * just ended, a cancelled one, and shards with machines. This build must read every record, and
 * write active jobs and their progress back unchanged.
 */
class StoredByEarlierBuildTest {
  private static final Path SAMPLE = Path.of("src/test/resources/stored/e61c2b1.json");

  private final Map<JobId, Job> jobs = new HashMap<>();
  private final ClusterView view = new ClusterView();

  @Test
  void recordsAreReadAndActiveJobsWrittenUnchanged() throws IOException, MalformedMessageException {
    JsonNode sample = Json.parseObject(Files.readString(SAMPLE));
    for (Map.Entry<String, JsonNode> entry : sample.properties()) {
      checkRecord(new KeyValue(entry.getKey(), entry.getValue(), new Revision(9)));
    }
    assertEquals(3, jobs.size());
    assertTrue(jobs.values().stream().allMatch(job -> job.state() == Job.State.ACTIVE));
    assertEquals(16, view.grants().size());
    assertEquals(16, view.shards().size());
    assertTrue(view.unreadableShards().isEmpty() && view.unreadableGrants().isEmpty());
    assertTrue(view.featureLevels().isEmpty());
  }

  private void checkRecord(KeyValue item) throws MalformedMessageException {
    String prefix = item.key().substring(0, StoreKeys.CONTROL.length());
    switch (prefix) {
      case StoreKeys.ACTIVE_JOBS -> checkActiveJob(item);
      case StoreKeys.CONTROL -> view.apply(item.key(), Optional.of(item));
      case StoreKeys.PROGRESS -> checkProgress(item);
      case StoreKeys.ENDED_JOBS -> checkEndedJob(item);
      default -> throw new AssertionError(item.key());
    }
  }

  private void checkActiveJob(KeyValue item) {
    JobRecord record = JobRecord.read(item).orElseThrow();
    JsonNode written =
        JobRecord.value(
            record.spec(), record.dependencies(), record.acceptedMillis(), record.cancelled());
    assertEquals(Json.write(item.value()), Json.write(written), item.key());
    jobs.put(record.id(), new Job(record));
  }

  private void checkProgress(KeyValue item) throws MalformedMessageException {
    ChunkKey key = ChunkKey.parse(item.key()).orElseThrow();
    Job job = jobs.get(key.job());
    job.load(key.chunk(), item.value(), shard -> new ZoneId("a"));
    assertEquals(Json.write(item.value()), Json.write(job.progressValue(key.chunk())), item.key());
  }

  private static void checkEndedJob(KeyValue item) {
    JobPhase expected = item.key().endsWith("run-4") ? JobPhase.CANCELLED : JobPhase.DONE;
    assertEquals(expected, JobRecord.endedPhase(item).orElseThrow(), item.key());
    assertEquals(OptionalLong.empty(), JobRecord.endedMillis(item), item.key());
  }
}
