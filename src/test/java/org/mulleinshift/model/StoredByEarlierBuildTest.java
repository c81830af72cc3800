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
 * What the build of commit e61c2b1 had stored 27 s into a day: jobs half done, one just over, one
 * cancelled, machines at blocks. This build reads all of it, and writes it as it was.
 */
class StoredByEarlierBuildTest {
  private static final Path SAMPLE = Path.of("src/test/resources/stored/e61c2b1.json");

  @Test
  void allOfItIsReadAndWrittenTheSame() throws IOException, MalformedMessageException {
    JsonNode sample = Json.parseObject(Files.readString(SAMPLE));
    Map<JobId, Job> jobs = new HashMap<>();
    ClusterView view = new ClusterView();
    for (Map.Entry<String, JsonNode> entry : sample.properties()) {
      KeyValue item = new KeyValue(entry.getKey(), entry.getValue(), new Revision(9));
      String kind = entry.getKey().substring(0, 2);
      switch (kind) {
        case StoreKeys.ACTIVE_JOBS -> {
          JobRecord record = JobRecord.read(item).get();
          JsonNode written =
              JobRecord.value(
                  record.spec(),
                  record.dependencies(),
                  record.acceptedMillis(),
                  record.cancelled());
          assertEquals(Json.write(item.value()), Json.write(written));
          jobs.put(record.id(), new Job(record));
        }
        case StoreKeys.CONTROL -> view.apply(item.key(), Optional.of(item));
        case StoreKeys.PROGRESS -> {
          ChunkKey key = ChunkKey.parse(item.key()).get();
          Job job = jobs.get(key.job());
          job.load(key.chunk(), item.value(), shard -> new ZoneId("a"));
          assertEquals(Json.write(item.value()), Json.write(job.progress(key.chunk())));
        }
        case StoreKeys.ENDED_JOBS -> {
          assertEquals(
              item.key().endsWith("run-4") ? JobPhase.CANCELLED : JobPhase.DONE,
              JobRecord.endedPhase(item).get());
          assertEquals(OptionalLong.empty(), JobRecord.endedMillis(item));
        }
        default -> throw new AssertionError(item.key());
      }
    }
    assertEquals(3, jobs.size());
    assertTrue(jobs.values().stream().allMatch(job -> job.state() == Job.State.ACTIVE));
    assertEquals(16, view.grants().size());
    assertEquals(16, view.shards().size());
    assertTrue(view.unreadableShards().isEmpty() && view.unreadableGrants().isEmpty());
    assertTrue(view.featureLevels().isEmpty());
  }
}
