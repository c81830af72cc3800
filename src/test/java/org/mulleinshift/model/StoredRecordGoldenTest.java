package org.mulleinshift.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.reflect.Field;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.GoldenFile;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.progress.LogSegment;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.MonotonicTime;

/** Checks that the keys and values of stored records match those that an earlier build wrote. */
class StoredRecordGoldenTest {
  private static final String DIRECTORY = "stored";

  /** Separates the key from the value in a golden file. */
  private static final String SEPARATOR = "\n";

  private static String file(String name) {
    return DIRECTORY + "/" + name + ".txt";
  }

  private static Set<String> names() {
    return StoredRecordSamples.all().keySet();
  }

  private static KeyValue golden(String name) throws MalformedMessageException {
    String[] keyAndValue = GoldenFile.text(file(name)).split(SEPARATOR, 2);
    return StoredRecordSamples.item(keyAndValue[0], keyAndValue[1]);
  }

  @ParameterizedTest
  @MethodSource("names")
  void recordIsWrittenInGoldenForm(String name) {
    StoredRecordSamples.Stored stored = StoredRecordSamples.all().get(name);
    GoldenFile.assertHolds(file(name), stored.key() + SEPARATOR + Json.write(stored.value()));
  }

  @ParameterizedTest
  @MethodSource("names")
  void recordIsReadAndWrittenBackByteForByte(String name) throws MalformedMessageException {
    KeyValue item = golden(name);
    assertEquals(GoldenFile.text(file(name)), item.key() + SEPARATOR + Json.write(rewritten(item)));
  }

  /** Returns what this build writes for a record that it has read. */
  private static JsonNode rewritten(KeyValue item) throws MalformedMessageException {
    String key = item.key();
    if (key.startsWith(StoreKeys.CONTROL)) {
      return rewrittenControl(item);
    }
    return switch (key.substring(0, 2)) {
      case StoreKeys.ACTIVE_JOBS -> rewrittenJob(item);
      case StoreKeys.ENDED_JOBS -> rewrittenEnd(item);
      case StoreKeys.PROGRESS -> rewrittenProgress(item);
      case StoreKeys.PROGRESS_LOG -> LogSegment.write(LogSegment.read(item.value()));
      case StoreKeys.PROVISIONING_REQUESTS ->
          ProvisioningRequest.read(
                  key.substring(StoreKeys.PROVISIONING_REQUESTS.length()),
                  item.value(),
                  new MonotonicTime(0))
              .write();
      case StoreKeys.DEPENDENCY_LISTS ->
          JobDependencies.listValue(JobDependencies.readList(item.value()));
      default -> throw new AssertionError(key);
    };
  }

  private static JsonNode rewrittenControl(KeyValue item) {
    String key = item.key();
    ClusterView view = new ClusterView();
    view.apply(key, Optional.of(item));
    if (key.equals(StoreKeys.LEADER)) {
      ClusterView.LeaderRecord leader = view.leader().orElseThrow();
      assertEquals(item.revision(), leader.term());
      return ClusterView.leaderValue(leader.node(), leader.lease());
    } else if (key.startsWith(StoreKeys.NODES)) {
      NodeId node = new NodeId(key.substring(StoreKeys.NODES.length()));
      return ClusterView.nodeValue(view.nodes().get(node).lease());
    } else if (key.startsWith(StoreKeys.GRANTS)) {
      ShardId shard = new ShardId(key.substring(StoreKeys.GRANTS.length()));
      return ClusterView.grantValue(view.grants().get(shard).owner());
    } else if (key.startsWith(StoreKeys.FEATURE_LEVELS)) {
      NodeId node = new NodeId(key.substring(StoreKeys.FEATURE_LEVELS.length()));
      return ClusterView.featureLevelValue(view.featureLevels().get(node));
    }
    ShardRecord shard = view.shards().get(new ShardId(key.substring(StoreKeys.SHARDS.length())));
    JsonNode node = ShardRecord.write(shard.zone(), shard.machines(), shard.lastOwner());
    shard.unknownFields().ifPresent(fields -> fields.restore(node));
    return node;
  }

  private static JsonNode rewrittenJob(KeyValue item) {
    JobRecord record = JobRecord.read(item).orElseThrow();
    JsonNode node =
        JobRecord.value(
            record.spec(), record.dependencies(), record.acceptedMillis(), record.cancelled());
    record.unknownFields().ifPresent(fields -> fields.restore(node));
    return node;
  }

  private static JsonNode rewrittenEnd(KeyValue item) {
    JobPhase phase = JobRecord.endedPhase(item).orElseThrow();
    OptionalLong at = JobRecord.endedMillis(item);
    ObjectNode node = (ObjectNode) JobRecord.endedValue(phase, at.orElse(0));
    return at.isPresent() ? node : node.without("at");
  }

  private static JsonNode rewrittenProgress(KeyValue item) throws MalformedMessageException {
    ChunkKey key = ChunkKey.parse(item.key()).orElseThrow();
    boolean hasDependencies = item.value().has("ready");
    Job job =
        StoredRecordSamples.job(
            hasDependencies ? StoredRecordSamples.namedJobs() : JobDependencies.NONE);
    assertEquals(job.spec().id(), key.job());
    job.load(key.chunk(), item.value(), shard -> new ZoneId("a"));
    return job.progressValue(key.chunk());
  }

  @Test
  void jobRecordHasTheSampleValues() throws MalformedMessageException {
    JobRecord record = JobRecord.read(golden("job-awaiting-named-jobs")).orElseThrow();
    assertEquals(StoredRecordSamples.shortSpec(), record.spec());
    assertEquals(StoredRecordSamples.namedJobs(), record.dependencies());
    assertEquals(StoredRecordSamples.ACCEPTED_AT, record.acceptedMillis());
  }

  @Test
  void segmentEntriesHaveTheirJobAndChunk() throws MalformedMessageException {
    KeyValue item = golden("log-segment");
    assertEquals(17, StoreKeys.logSegmentNumber(item.key()).orElseThrow());
    assertEquals(
        "run-1 0, run-2 0/1",
        LogSegment.read(item.value()).stream()
            .map(entry -> entry.job() + " " + entry.chunk())
            .collect(Collectors.joining(", ")));
  }

  @Test
  void everyPrefixHasASample() throws IllegalAccessException {
    Set<String> keys =
        StoredRecordSamples.all().values().stream()
            .map(StoredRecordSamples.Stored::key)
            .collect(Collectors.toSet());
    for (Field prefix : StoreKeys.class.getFields()) {
      String text = (String) prefix.get(null);
      assertTrue(keys.stream().anyMatch(key -> key.startsWith(text)), text);
    }
  }

  @Test
  void everyGoldenFileHasASample() throws IOException {
    Set<String> expected = names().stream().map(name -> name + ".txt").collect(Collectors.toSet());
    assertEquals(expected, GoldenFile.names(DIRECTORY));
  }
}
