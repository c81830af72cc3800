package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.HttpResponse;

/** A shard's owner in virtual time; the test acts as its workers and its leader. */
final class ShardOwnerFixture {
  private static final int OK = 200;
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(2);
  private static final Duration CANCEL_WITHIN = Duration.ofSeconds(32);
  private static final Duration SHARD_LEASE = Duration.ofSeconds(14);
  private static final Revision RECORD_REVISION = new Revision(8);
  static final String MACHINE = "i-000001";
  static final Revision GRANT = new Revision(7);
  static final long TOKEN = MachineToken.first(GRANT).value();
  static final JobId JOB = new JobId("run-1");
  static final Duration WORKER_LEASE = Duration.ofSeconds(12);

  private static final InetSocketAddress CLOUD = new InetSocketAddress("10.2.0.2", 8443);
  private static final long LEADER_TERM = 3;
  private static final String CATALOG =
      "{\"builds\":[{\"label\":\"small\",\"cpus\":8,\"cards\":0,\"ram_gb\":64,\"local_gb\":100,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"market_price\":0.4,\"startup_s\":8,"
          + "\"yards\":[\"a\"]}]}";

  /** Whether an earlier owner of the shard may have placed a task. */
  enum Origin {
    FRESH,
    INHERITED
  }

  /** A direct command message, with the callback for the worker's response. */
  record DirectMessage(String body, Consumer<HttpResponse> reply) {}

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<DirectMessage> directMessages = new ArrayList<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final ShardOwner owner;

  /** Creates an owner whose shard has these machines. */
  ShardOwnerFixture(String... machines) {
    MachineTypeCatalog catalog =
        new MachineTypeCatalog(
            loop,
            (to, request, reply) -> reply.accept(new HttpResponse(OK, CATALOG)),
            CLOUD,
            () -> {});
    catalog.start();
    owner =
        new ShardOwner(
            new ShardOwner.Context(
                loop,
                (to, request, reply) ->
                    directMessages.add(new DirectMessage(request.body().orElseThrow(), reply)),
                catalog,
                new PlatformSettings.WorkerTiming(HEARTBEAT_INTERVAL, WORKER_LEASE, CANCEL_WITHIN),
                SHARD_LEASE,
                cancelled::contains,
                () -> {}),
            new ShardId("a-0"),
            GRANT,
            () -> true);
    MachineRecord record = new MachineRecord(new MachineTypeId("small"), false, true);
    Map<MachineId, MachineRecord> records =
        Stream.of(machines).collect(Collectors.toMap(MachineId::new, machine -> record));
    owner.onRecord(
        new ShardRecord(
            new ZoneId("a"), records, RECORD_REVISION, Optional.empty(), Optional.empty()));
  }

  ShardOwner owner() {
    return owner;
  }

  List<DirectMessage> directMessages() {
    return directMessages;
  }

  DirectMessage lastDirectMessage() {
    return directMessages.get(directMessages.size() - 1);
  }

  /** Has the worker answer the last direct message with a report under the grant's first token. */
  void answerLastDirectMessage(String machine, int sequence, String tasks) {
    String report = heartbeat(machine, sequence, TOKEN, tasks);
    lastDirectMessage().reply().accept(new HttpResponse(OK, report));
  }

  /** The fencing token in a response to a heartbeat or in a direct message. */
  static long token(String body) throws MalformedMessageException {
    return Json.count(Json.parseObject(body), "baton", 0, Long.MAX_VALUE);
  }

  void runFor(Duration time) {
    loop.runFor(time.toMillis() / 1000.0);
  }

  void cancel(JobId job) {
    cancelled.add(job);
    owner.onCancelled(job);
  }

  /** A worker's heartbeat in its wire format. */
  static String heartbeat(String machine, int sequence, long token, String tasks) {
    return "{\"host\":\""
        + machine
        + "\",\"addr\":\"10.1.0.1:9000\",\"build\":\"small\",\"yard\":\"a\","
        + "\"loaner\":false,\"shift\":1,\"tick\":"
        + sequence
        + ",\"baton\":"
        + token
        + ",\"pieces\":["
        + tasks
        + "]}";
  }

  /** A task in a heartbeat in its wire format. */
  static String reportedTask(String task, String phase) {
    return "{\"piece\":\"" + task + "\",\"try\":1,\"phase\":\"" + phase + "\"}";
  }

  /** Sends a heartbeat to the owner and returns its response; empty if it gives none. */
  Optional<String> sendHeartbeat(String machine, int sequence, long token, String tasks)
      throws MalformedMessageException {
    return owner.onHeartbeat(
        WorkerCodec.parseHeartbeat(heartbeat(machine, sequence, token, tasks)));
  }

  /** Sends two heartbeats, the second of which acknowledges the owner's token. */
  void confirm(String machine) throws MalformedMessageException {
    sendHeartbeat(machine, 1, 0, "");
    sendHeartbeat(machine, 2, TOKEN, "");
  }

  /** Assigns a task of {@link #JOB} as the leader, based on the previous version. */
  void assign(long version, int index, Origin origin) {
    AssignedTask task = new AssignedTask(index, 1L, origin == Origin.FRESH, false);
    AssignedJob job =
        new AssignedJob(
            JOB.value(), 1.0, 0.0, 1.0, "image", 1.0, 0.0, List.of(), true, 0, List.of(task));
    send(version, List.of(job), List.of());
  }

  /** Removes a task from the assignments as the leader, as it does once its end is stored. */
  void unassign(long version, int index) {
    send(version, List.of(), List.of(new RemovedTask(JOB.value(), index)));
  }

  /** Sends an assignment message without tasks as the leader. */
  void assignNothing(long version) {
    send(version, List.of(), List.of());
  }

  private void send(long version, List<AssignedJob> jobs, List<RemovedTask> removed) {
    owner.onAssignment(
        new ShardAssignment(
            LEADER_TERM, "a-0", GRANT.value(), version - 1, version, removed, jobs, List.of()));
  }
}
