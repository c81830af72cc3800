package org.mulleinshift.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** Records of other builds: unknown fields are kept, and unreadable records are not acted on. */
class StoredRecordsTest {
  private static final String SPEC =
      """
      {"ref":"run-1","lane":"work","crew":"t","shape":"batch","urgency":"standard","pieces":8,
       "cpus":2.0,"cards":0.0,"ram_gb":4.0,"bundle":"img-1","pull_gb":0.0,"same_place":false,
       "spread":false,"loaner":true,"guess_s":10.0,"snapshot_s":0.0,"flush_s":0.0%s}""";

  private static JsonNode job(String specFields, String recordFields)
      throws MalformedMessageException {
    return Json.parseObject(
        "{\"spec\":"
            + SPEC.formatted(specFields)
            + ",\"at\":5,\"cancelled\":false"
            + recordFields
            + "}");
  }

  private static Optional<JobRecord> read(JsonNode value) {
    return JobRecord.read(new KeyValue("a/run-1", value, new Revision(3)));
  }

  @Test
  void unknownFieldsSurviveACancellation() throws MalformedMessageException {
    JsonNode stored =
        job(",\"colour\":\"red\",\"yard\":null", ",\"format\":2,\"more\":{\"x\":[1]}");
    ObjectNode expected = stored.deepCopy();
    expected.put("cancelled", true);
    ((ObjectNode) expected.get("spec")).remove("yard");
    assertEquals(Json.write(expected), Json.write(read(stored).get().cancelledValue()));
    assertTrue(read(job("", "")).get().unknownFields().isEmpty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"at", "cancelled", "spec"})
  void missingFieldsHaveNoDefault(String field) throws MalformedMessageException {
    ObjectNode stored = (ObjectNode) job("", "");
    stored.remove(field);
    assertTrue(read(stored).isEmpty());
  }

  @Test
  void anUnreadableJobStillCountsAgainstItsTeam() throws MalformedMessageException {
    ObjectNode stored = (ObjectNode) job("", "");
    ((ObjectNode) stored.get("spec")).put("urgency", "solar");
    assertTrue(read(stored).isEmpty());
    JobRecord.Footprint footprint = JobRecord.footprint(stored);
    assertEquals("t", footprint.team().get().value());
    assertEquals(16, footprint.maximum().cpus());
  }

  @Test
  void progressKeepsUnknownFields() throws MalformedMessageException {
    Job job = new Job(read(job("", "")).get());
    JsonNode stored =
        Json.parseObject(
            "{\"done\":\"0-2\",\"at\":[{\"b\":\"a-0\",\"n\":7,\"r\":\"3-4\"}],\"new\":9}");
    job.load(Chunk.whole(0), stored, shard -> new ZoneId("a"));
    assertEquals(Json.write(stored), Json.write(job.progressValue(Chunk.whole(0))));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"done\":\"all\",\"at\":[]}",
        "{\"done\":\"0-9\",\"at\":[]}",
        "{\"done\":\"2-1\",\"at\":[]}",
        "{\"done\":3,\"at\":[]}",
        "{\"done\":\"0\"}",
        "{\"done\":\"0\",\"at\":[{\"b\":\"a-0\",\"n\":7}]}",
        "{\"done\":\"0\",\"at\":[{\"b\":\"a-0\",\"n\":7,\"r\":\"1\",\"since\":4}]}",
        "{\"done\":\"0\",\"at\":[{\"b\":\"a-0\",\"n\":-7,\"r\":\"1\"}]}"
      })
  void unreadableProgressIsNotLoadedInPart(String stored) throws MalformedMessageException {
    Job job = new Job(read(job("", "")).get());
    JsonNode value = Json.parseObject(stored);
    assertThrows(
        MalformedMessageException.class,
        () -> job.load(Chunk.whole(0), value, shard -> new ZoneId("a")));
    assertEquals(8, job.waitingCount());
    assertEquals(0, job.doneCount());
  }

  /**
   * Builds that don't know dependencies expect {@code at} as a field of the record itself, and
   * quarantine a job without it, so that they can't run it before its dependencies are done.
   */
  @Test
  void olderBuildsCannotReadAJobWithDependencies() throws MalformedMessageException {
    JobDependencies dependencies =
        JobDependencies.of(List.of(new JobId("run-7"), new JobId("run-8")));
    JsonNode stored = JobRecord.value(read(job("", "")).get().spec(), dependencies, 5, false);
    assertTrue(stored.path("at").isMissingNode());
    JobRecord record = read(stored).get();
    assertEquals(dependencies, record.dependencies());
    assertEquals(5, record.acceptedMillis());
    assertEquals(dependencies, read(record.cancelledValue()).get().dependencies());
    assertEquals(Job.State.AWAITING_DEPENDENCIES, new Job(record).state());
    assertEquals("t", JobRecord.footprint(stored).team().get().value());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"at\":5}",
        "{\"at\":5,\"awaits\":[]}",
        "{\"at\":5,\"awaits\":[3]}",
        "{\"at\":5,\"awaits\":[\"job\"]}",
        "{\"awaits\":[\"run-7\"]}",
        "{\"at\":5,\"lists\":0,\"digest\":\"d\"}",
        "{\"at\":5,\"lists\":2}"
      })
  void unreadableDependenciesAreNotDropped(String dependencies) throws MalformedMessageException {
    ObjectNode stored = (ObjectNode) job("", "");
    stored.set("chain", Json.parseObject(dependencies));
    assertTrue(read(stored).isEmpty());
  }

  @Test
  void anUnknownPhaseIsNotTerminal() throws MalformedMessageException {
    JsonNode archived = Json.parseObject("{\"phase\":\"archived\"}");
    JsonNode running = Json.parseObject("{\"phase\":\"running\"}");
    assertTrue(JobRecord.endedPhase(new KeyValue("t/run-1", archived, new Revision(1))).isEmpty());
    assertTrue(JobRecord.endedPhase(new KeyValue("t/run-1", running, new Revision(1))).isEmpty());
  }

  @Test
  void aShardKeepsUnknownFields() throws MalformedMessageException {
    ClusterView view = new ClusterView();
    JsonNode stored =
        Json.parseObject(
            "{\"zone\":\"a\",\"last\":\"n-1\",\"tier\":2,"
                + "\"machines\":{\"i-1\":{\"type\":\"g8\",\"spot\":true,\"up\":false}}}");
    view.apply("c/b/a-0", Optional.of(new KeyValue("c/b/a-0", stored, new Revision(4))));
    ClusterView.ShardRecord record = view.shards().get(new ShardId("a-0"));
    JsonNode written =
        ClusterView.ShardRecord.write(record.zone(), record.machines(), record.lastOwner());
    record.unknownFields().get().restore(written);
    assertEquals(stored.get("tier"), written.get("tier"));
    assertEquals(stored.size(), written.size());
    ObjectNode other = stored.deepCopy();
    other.put("machines", "elsewhere");
    view.apply("c/b/a-0", Optional.of(new KeyValue("c/b/a-0", other, new Revision(5))));
    assertTrue(view.shards().isEmpty());
    assertTrue(view.unreadableShards().contains(new ShardId("a-0")));
    view.apply("c/b/a-0", Optional.of(new KeyValue("c/b/a-0", stored, new Revision(6))));
    assertTrue(view.unreadableShards().isEmpty());
  }

  @Test
  void aShardWithAnUnreadableGrantIsNotUnowned() throws MalformedMessageException {
    ClusterView view = new ClusterView();
    JsonNode stored = Json.parseObject("{\"holders\":[\"n-1\"]}");
    view.apply("c/g/a-0", Optional.of(new KeyValue("c/g/a-0", stored, new Revision(4))));
    assertTrue(view.grants().isEmpty());
    assertTrue(view.unreadableGrants().contains(new ShardId("a-0")));
    view.apply("c/g/a-0", Optional.empty());
    assertTrue(view.unreadableGrants().isEmpty());
  }

  @Test
  void anUnreadableProvisioningRequestIsRefused() throws MalformedMessageException {
    JsonNode stored = Json.parseObject("{\"type\":\"g8\",\"zone\":\"a\",\"spot\":true}");
    MonotonicTime now = new MonotonicTime(0);
    assertThrows(
        MalformedMessageException.class, () -> ProvisioningRequest.read("r-1-1", stored, now));
  }
}
