package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.progress.LogSegment;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.JobSpecSamples;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.MonotonicTime;

/** Samples of every form of stored record that this build writes, by name of their golden file. */
final class StoredRecordSamples {
  static final long ACCEPTED_AT = 1_700_000_003_002L;
  static final int TASKS = 730;
  private static final long READY_AT = ACCEPTED_AT + 500;
  private static final long READY_KNOWN_AT = ACCEPTED_AT + 900;
  private static final JobId JOB = new JobId("run-1");
  private static final ShardId SHARD = new ShardId("a-0");
  private static final ZoneId ZONE = new ZoneId("a");
  private static final LeaseId SESSION_LEASE = new LeaseId(7);
  private static final Revision RECORD_REVISION = new Revision(3);
  private static final Revision READ_REVISION = new Revision(9);
  private static final int[] DONE_TASKS = {0, 1, 2, 9, 260, 499, 500, 729};
  private static final int[] ASSIGNED_TASKS = {3, 4, 10, 251, 498, 501};
  private static final int TASK_OF_OTHER_SHARD = 11;
  private static final int RETRIED_TASK = 12;
  private static final Attempt FIRST_ATTEMPT = new Attempt(1L << 40);
  private static final double RUN_SECONDS = 5;
  private static final int SEGMENT = 17;
  private static final int MACHINE_COUNT = 12;
  private static final int UNKNOWN_VALUE = 9;
  private static final String DIGEST = "0f8fad5b-d9cb-369f-a165-70867728950e";

  /** A key and its value. */
  record Stored(String key, JsonNode value) {}

  private final Map<String, Stored> forms = new LinkedHashMap<>();

  private StoredRecordSamples() {}

  static Map<String, Stored> all() {
    StoredRecordSamples samples = new StoredRecordSamples();
    samples.addControl();
    samples.addActiveJobs();
    samples.addEnds();
    samples.addProgress();
    samples.addLog();
    samples.addOthers();
    return samples.forms;
  }

  private void add(String name, String key, JsonNode value) {
    forms.put(name, new Stored(key, value));
  }

  private void addControl() {
    NodeId node = new NodeId("n-1");
    LeaseId lease = new LeaseId(Long.MAX_VALUE);
    add("leader", StoreKeys.LEADER, ClusterView.leaderValue(node, lease));
    add("node", StoreKeys.node(node), ClusterView.nodeValue(SESSION_LEASE));
    add("grant", StoreKeys.grant(SHARD), ClusterView.grantValue(node));
    add("build", StoreKeys.featureLevel(node), ClusterView.featureLevelValue(2));
    JsonNode shard = ShardRecord.write(ZONE, machines(), Optional.of(node));
    add("block", StoreKeys.shard(SHARD), shard);
    add(
        "block-without-last-holder",
        StoreKeys.shard(SHARD),
        ShardRecord.write(ZONE, machines(), Optional.empty()));
    add(
        "block-without-machines",
        StoreKeys.shard(SHARD),
        ShardRecord.write(ZONE, Map.of(), Optional.of(node)));
    ObjectNode newer = shard.deepCopy();
    newer.put("tier", 2);
    add("block-with-unknown-fields", StoreKeys.shard(SHARD), newer);
  }

  private static Map<MachineId, MachineRecord> machines() {
    Map<MachineId, MachineRecord> machines = new TreeMap<>();
    machines.put(
        new MachineId("i-000001"), new MachineRecord(new MachineTypeId("g8"), true, false));
    machines.put(
        new MachineId("i-000002"), new MachineRecord(new MachineTypeId("g4"), false, true));
    return machines;
  }

  private void addActiveJobs() {
    for (JobKind kind : JobKind.values()) {
      addActiveJob(
          "job-" + kind.wireName(),
          JobSpecSamples.full(JOB, kind, Priority.NORMAL),
          JobDependencies.NONE,
          false);
    }
    for (Priority priority : Priority.values()) {
      JobSpec spec = JobSpecSamples.full(JOB, JobKind.ARRAY, priority);
      addActiveJob("job-" + priority.wireName(), spec, JobDependencies.NONE, false);
    }
    JobSpec spec = shortSpec();
    addActiveJob("job-without-optional-fields", spec, JobDependencies.NONE, false);
    addActiveJob("job-cancelled", spec, JobDependencies.NONE, true);
    addActiveJob("job-awaiting-named-jobs", spec, namedJobs(), false);
    addActiveJob("job-awaiting-lists", spec, new JobDependencies(List.of(), 2, DIGEST), false);
    addActiveJob("job-awaiting-cancelled", spec, namedJobs(), true);
    add("job-cancelled-with-unknown-fields", StoreKeys.activeJob(JOB), cancelledOfNewerBuild(spec));
  }

  private void addActiveJob(
      String name, JobSpec spec, JobDependencies dependencies, boolean cancelled) {
    add(
        name,
        StoreKeys.activeJob(spec.id()),
        JobRecord.value(spec, dependencies, ACCEPTED_AT, cancelled));
  }

  private static JsonNode cancelledOfNewerBuild(JobSpec spec) {
    ObjectNode stored =
        (ObjectNode) JobRecord.value(spec, JobDependencies.NONE, ACCEPTED_AT, false);
    stored.put("format", 2);
    ((ObjectNode) stored.get("spec")).put("colour", "red");
    return JobRecord.read(new KeyValue(StoreKeys.activeJob(JOB), stored, RECORD_REVISION))
        .orElseThrow()
        .cancelledValue();
  }

  static JobDependencies namedJobs() {
    return JobDependencies.of(List.of(new JobId("run-7"), new JobId("run-8")));
  }

  static JobSpec shortSpec() {
    return JobSpecSamples.withoutOptionalFields(JOB, TASKS);
  }

  private void addEnds() {
    JsonNode done = JobRecord.endedValue(JobPhase.DONE, ACCEPTED_AT);
    JsonNode cancelled = JobRecord.endedValue(JobPhase.CANCELLED, ACCEPTED_AT);
    add("ended-done", StoreKeys.endedJob(JOB), done);
    add("ended-cancelled", StoreKeys.endedJob(JOB), cancelled);
    // Builds that did not know dependencies stored no time.
    ObjectNode older = done.deepCopy();
    older.remove("at");
    add("ended-without-time", StoreKeys.endedJob(JOB), older);
  }

  private void addProgress() {
    Chunk first = Chunk.whole(0);
    add(
        "progress-none",
        ChunkKey.format(JOB, first),
        job(JobDependencies.NONE).progressValue(first));
    Job job = startedJob(JobDependencies.NONE);
    add("progress-chunk", ChunkKey.format(JOB, first), job.progressValue(first));
    Chunk second = Chunk.whole(1);
    add("progress-second-chunk", ChunkKey.format(JOB, second), job.progressValue(second));
    Chunk half = first.half(0);
    add("progress-part", ChunkKey.format(JOB, half), job.progressValue(half));
    Chunk quarter = first.half(1).half(1);
    add("progress-part-of-part", ChunkKey.format(JOB, quarter), job.progressValue(quarter));
    Job dependent = startedJob(namedJobs());
    add("progress-awaiting", ChunkKey.format(JOB, first), dependent.progressValue(first));
    add("progress-with-unknown-fields", ChunkKey.format(JOB, first), progressOfNewerBuild(job));
  }

  private static JsonNode progressOfNewerBuild(Job job) {
    ObjectNode stored = (ObjectNode) job.progressValue(Chunk.whole(0));
    stored.put("new", UNKNOWN_VALUE);
    return stored;
  }

  static Job job(JobDependencies dependencies) {
    return new Job(
        new JobRecord(
            shortSpec(), dependencies, ACCEPTED_AT, false, RECORD_REVISION, Optional.empty()));
  }

  /**
   * Returns a job with completed and assigned tasks in both chunks, assignments to two shards, and
   * a task in its second attempt.
   */
  private static Job startedJob(JobDependencies dependencies) {
    Job job = job(dependencies);
    job.release(READY_AT, READY_KNOWN_AT);
    for (int index : DONE_TASKS) {
      job.taskDone(job.assign(index, SHARD, ZONE, FIRST_ATTEMPT), RUN_SECONDS);
    }
    for (int index : ASSIGNED_TASKS) {
      job.assign(index, SHARD, ZONE, FIRST_ATTEMPT);
    }
    job.assign(TASK_OF_OTHER_SHARD, new ShardId("b-1"), new ZoneId("b"), FIRST_ATTEMPT);
    job.requeueTask(
        job.assign(RETRIED_TASK, SHARD, ZONE, FIRST_ATTEMPT), Optional.<MonotonicTime>empty());
    job.assign(RETRIED_TASK, SHARD, ZONE, FIRST_ATTEMPT);
    return job;
  }

  private void addLog() {
    Chunk first = Chunk.whole(0);
    Chunk secondHalf = first.half(1);
    Job job = startedJob(JobDependencies.NONE);
    List<LogSegment.Entry> entries =
        List.of(
            LogSegment.Entry.of(JOB, first, job.progressValue(first)),
            LogSegment.Entry.of(new JobId("run-2"), secondHalf, job.progressValue(secondHalf)));
    add("log-segment", StoreKeys.logSegment(SEGMENT), LogSegment.write(entries));
    add("log-segment-without-entries", StoreKeys.logSegment(0), LogSegment.write(List.of()));
  }

  private void addOthers() {
    ProvisioningRequest request =
        new ProvisioningRequest(
            "r-417-1",
            new MachineTypeId("g8"),
            ZONE,
            true,
            MACHINE_COUNT,
            new MonotonicTime(0),
            ProvisioningRequest.State.PLANNED);
    add("rental", StoreKeys.provisioningRequest(request.name()), request.write());
    List<JobId> awaited = namedJobs().inlineJobs();
    add(
        "awaited-list",
        StoreKeys.dependencyList(JOB, DIGEST, 1),
        JobDependencies.listValue(awaited));
  }

  /** Returns a record as it is read from the store. */
  static KeyValue item(String key, String value) throws MalformedMessageException {
    return new KeyValue(key, Json.parseObject(value), READ_REVISION);
  }
}
