package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.Responder;

/**
 * Where a controller redirects workers whose shard it does not own, and when it holds their
 * heartbeats instead. Guards against sending a worker back to an owner that has not detected yet
 * that heartbeats don't arrive.
 *
 * <p>The controllers are n-0 (the router), n-1 and n-2; the shard is granted to n-2. With
 * heartbeats every 2 s, an owner of few machines detects missing heartbeats after 5.25 s. A worker
 * arrives here at the earliest 4 s after its heartbeat was lost, so a report of the owner counts if
 * it comes 1.25 s after that arrival or later.
 */
final class HeartbeatRouterTest {
  private static final NodeId SELF = new NodeId("n-0");
  private static final NodeId OTHER = new NodeId("n-1");
  private static final NodeId OWNER = new NodeId("n-2");
  private static final ShardId SHARD = new ShardId("a-0");
  private static final Revision GRANT = new Revision(7);
  private static final Revision NEXT_GRANT = new Revision(9);
  private static final long OWNER_TOKEN = MachineToken.first(GRANT).value();
  private static final long EARLIER_GRANT_TOKEN = MachineToken.first(new Revision(3)).value();
  private static final String MACHINE = "i-000001";
  private static final String NO_REDIRECT = "421 {}";
  private static final String TO_OWNER = "421 {\"foreman\":\"n-2\"}";
  private static final String TO_OTHER = "421 {\"foreman\":\"n-1\"}";

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final ClusterView view = new ClusterView();
  private final FakeOwnerHealth health = new FakeOwnerHealth();
  private final List<Object> toLeader = new ArrayList<>();
  private final List<String> responses = new ArrayList<>();
  private int probedSequence = 2;
  private final HeartbeatRouter router =
      new HeartbeatRouter(
          SELF,
          view,
          context(),
          new OwnedShards.Peers(List.of(OTHER, OWNER), health, () -> {}),
          new HashMap<>(),
          toLeader::add);

  /** The reports of the other controllers, as set by the test. */
  private final class FakeOwnerHealth implements OwnerHealth {
    private final Map<NodeId, MonotonicTime> reports = new HashMap<>();
    private final List<NodeId> unreachable = new ArrayList<>();

    @Override
    public boolean answersWorkers(NodeId controller) {
      return !unreachable.contains(controller);
    }

    @Override
    public Optional<MonotonicTime> lastReportAt(NodeId controller) {
      return Optional.ofNullable(reports.get(controller));
    }

    void report(NodeId controller) {
      reports.put(controller, loop.now());
    }
  }

  HeartbeatRouterTest() {
    grant(OWNER, GRANT);
    MachineRecord machine = new MachineRecord(new MachineTypeId("small"), false, true);
    view.apply(
        StoreKeys.shard(SHARD),
        Optional.of(
            new KeyValue(
                StoreKeys.shard(SHARD),
                ShardRecord.write(
                    new ZoneId("a"), Map.of(new MachineId(MACHINE), machine), Optional.empty()),
                new Revision(2))));
    loop.runFor(60);
    health.report(OWNER);
  }

  private void grant(NodeId owner, Revision revision) {
    String key = StoreKeys.grant(SHARD);
    view.apply(key, Optional.of(new KeyValue(key, ClusterView.grantValue(owner), revision)));
  }

  private ShardOwner.Context context() {
    return new ShardOwner.Context(
        loop,
        (to, request, reply) -> reply.accept(statusOfWorker()),
        new MachineTypeCatalog(loop, (to, request, reply) -> {}, null, () -> {}),
        new PlatformSettings.WorkerTiming(
            Duration.ofSeconds(2), Duration.ofSeconds(12), Duration.ofSeconds(32)),
        Duration.ofSeconds(14),
        job -> false,
        () -> {});
  }

  private HttpResponse statusOfWorker() {
    return new HttpResponse(
        HttpStatus.OK, ShardOwnerFixture.heartbeat(MACHINE, probedSequence, OWNER_TOKEN, ""));
  }

  /** Records the status and body of each response. */
  private final class RecordingResponder implements Responder {
    @Override
    public void respond(int status, String body) {
      responses.add(status + " " + body);
    }

    @Override
    public void respondWithRetryAfter(int status, String body, int retryAfterSeconds) {
      respond(status, body);
    }
  }

  private void routeHeartbeat(long token) throws MalformedMessageException {
    router.route(
        WorkerCodec.parseHeartbeat(ShardOwnerFixture.heartbeat(MACHINE, 1, token, "")),
        new RecordingResponder());
  }

  private long suspicionsAfterBatchingDelay() {
    loop.runFor(0.5);
    return toLeader.stream().filter(OwnerSuspicion.class::isInstance).count();
  }

  @Test
  void redirectsWorkerNeverAnsweredByOwnerAtOnce() throws MalformedMessageException {
    routeHeartbeat(EARLIER_GRANT_TOKEN);
    assertEquals(List.of(TO_OWNER), responses);
  }

  @Test
  void redirectsUnansweredWorkerOnceOwnerReportsAfterDetectionTime()
      throws MalformedMessageException {
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(1.2);
    health.report(OWNER);
    loop.runFor(0.15);
    assertEquals(List.of(), responses);
    health.report(OWNER);
    loop.runFor(0.1);
    assertEquals(List.of(TO_OWNER), responses);
  }

  @Test
  void laterUnansweredWorkerExtendsHoldOfEarlierOne() throws MalformedMessageException {
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(1);
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(0.3);
    health.report(OWNER);
    loop.runFor(0.2);
    assertEquals(List.of(), responses);
  }

  @Test
  void redirectsAtOnceIfOwnerOfManyMachinesWouldHaveDetectedFailure()
      throws MalformedMessageException {
    Map<MachineId, MachineRecord> machines = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      machines.put(
          new MachineId("i-" + i), new MachineRecord(new MachineTypeId("small"), false, true));
    }
    machines.put(
        new MachineId(MACHINE), new MachineRecord(new MachineTypeId("small"), false, true));
    view.apply(
        StoreKeys.shard(SHARD),
        Optional.of(
            new KeyValue(
                StoreKeys.shard(SHARD),
                ShardRecord.write(new ZoneId("a"), machines, Optional.empty()),
                new Revision(3))));
    routeHeartbeat(OWNER_TOKEN);
    assertEquals(List.of(TO_OWNER), responses);
    assertEquals(0, suspicionsAfterBatchingDelay());
  }

  @Test
  void redirectsHeldHeartbeatWhenShardIsGrantedElsewhere() throws MalformedMessageException {
    health.unreachable.add(OWNER);
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(0.5);
    assertEquals(List.of(), responses);
    grant(OTHER, NEXT_GRANT);
    router.onControlKeysChanged();
    assertEquals(List.of(TO_OTHER), responses);
  }

  @Test
  void holdsHeartbeatWhileGrantedShardIsNotAdopted() throws MalformedMessageException {
    grant(SELF, NEXT_GRANT);
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(2.4);
    assertEquals(List.of(), responses);
    loop.runFor(0.2);
    assertEquals(List.of(NO_REDIRECT), responses);
  }

  @Test
  void respondsBeforeWorkerTimesOut() throws MalformedMessageException {
    health.unreachable.add(OWNER);
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(2.6);
    assertEquals(List.of(NO_REDIRECT), responses);
  }

  @Test
  void skipsUnresponsiveOwnerThatWorkerWouldTryNext() throws MalformedMessageException {
    grant(OTHER, NEXT_GRANT);
    health.unreachable.add(OTHER);
    routeHeartbeat(OWNER_TOKEN);
    loop.runFor(2.6);
    assertEquals(List.of(TO_OWNER), responses);
  }

  @Test
  void recentHeartbeatRaisesSuspicion() throws MalformedMessageException {
    routeHeartbeat(OWNER_TOKEN);
    assertEquals(1, suspicionsAfterBatchingDelay());
  }

  @Test
  void delayedDuplicateRaisesNoSuspicion() throws MalformedMessageException {
    probedSequence = 20;
    routeHeartbeat(OWNER_TOKEN);
    assertEquals(0, suspicionsAfterBatchingDelay());
  }

  @Test
  void boundsNumberOfHeldHeartbeats() throws MalformedMessageException {
    health.unreachable.add(OWNER);
    IntConsumer sendMany =
        count -> {
          for (int i = 0; i < count; i++) {
            sendUnchecked();
          }
        };
    sendMany.accept(512);
    assertEquals(List.of(), responses);
    sendMany.accept(1);
    assertEquals(List.of(NO_REDIRECT), responses);
    loop.runFor(2.6);
    assertEquals(513, responses.size());
  }

  private void sendUnchecked() {
    try {
      routeHeartbeat(OWNER_TOKEN);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
