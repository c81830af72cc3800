package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
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
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.HttpResponse;

/** A direct order overtakes the answer to a report. */
final class CommandsInFlightTest {
  private static final InetSocketAddress CLOUD = new InetSocketAddress("10.2.0.2", 8443);
  private static final Revision GRANT = new Revision(7);
  private static final long TOKEN = OwnedMachine.firstToken(GRANT).value();
  private static final JobId JOB = new JobId("run-1");
  private static final String CATALOG =
      "{\"builds\":[{\"label\":\"small\",\"cpus\":8,\"cards\":0,\"ram_gb\":64,\"local_gb\":100,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"market_price\":0.4,\"startup_s\":8,"
          + "\"yards\":[\"a\"]}]}";

  /** A direct command that nobody has answered yet. */
  private record Direct(String body, Consumer<HttpResponse> reply) {}

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Direct> directs = new ArrayList<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final ShardOwner owner;

  CommandsInFlightTest() {
    MachineTypeCatalog catalog =
        new MachineTypeCatalog(
            loop,
            (to, request, reply) -> reply.accept(new HttpResponse(200, CATALOG)),
            CLOUD,
            () -> {});
    catalog.start();
    owner =
        new ShardOwner(
            new ShardOwner.Context(
                loop,
                (to, request, reply) -> directs.add(new Direct(request.body().get(), reply)),
                catalog,
                new PlatformSettings.WorkerTiming(
                    Duration.ofSeconds(2), Duration.ofSeconds(12), Duration.ofSeconds(32)),
                Duration.ofSeconds(14),
                cancelled::contains,
                () -> {}),
            new ShardId("a-0"),
            GRANT,
            () -> true);
    MachineRecord machine = new MachineRecord(new MachineTypeId("small"), false, true);
    owner.onRecord(
        new ShardRecord(
            new ZoneId("a"),
            Map.of(new MachineId("i-000001"), machine),
            new Revision(8),
            Optional.empty(),
            Optional.empty()));
  }

  private static String report(int tick, long token, String tasks) {
    return "{\"host\":\"i-000001\",\"addr\":\"10.1.0.1:9000\",\"build\":\"small\",\"yard\":\"a\","
        + "\"loaner\":false,\"shift\":1,\"tick\":"
        + tick
        + ",\"baton\":"
        + token
        + ",\"pieces\":["
        + tasks
        + "]}";
  }

  private String answerTo(int tick, long token, String tasks) throws MalformedMessageException {
    return owner.onHeartbeat(WorkerCodec.parseHeartbeat(report(tick, token, tasks))).orElseThrow();
  }

  private void assign(long version, int index) {
    AssignedTask task = new AssignedTask(index, 1L, true, false);
    AssignedJob job =
        new AssignedJob(
            JOB.value(), 1.0, 0.0, 1.0, "image", 1.0, 0.0, List.of(), true, 0, List.of(task));
    owner.onAssignment(
        new ShardAssignment(
            3L, "a-0", GRANT.value(), version - 1, version, List.of(), List.of(job), List.of()));
  }

  private static long token(String body) throws MalformedMessageException {
    return Json.count(Json.parseObject(body), "baton", 0, Long.MAX_VALUE);
  }

  @Test
  void stopOfTaskThatAnAnswerMayStillStartGoesUnderHigherToken() throws MalformedMessageException {
    answerTo(1, 0, "");
    answerTo(2, TOKEN, "");
    assign(1, 0);
    assertEquals(1, directs.size(), "the first task goes by a direct order");
    assign(2, 1);
    assertEquals(1, directs.size(), "the second waits while that one is on its way");

    String fetching = "{\"piece\":\"run-1/0\",\"try\":1,\"phase\":\"fetching\"}";
    String answer = answerTo(3, TOKEN, fetching);
    assertTrue(answer.contains("run-1/1"), "and goes by the answer to a report: " + answer);
    cancelled.add(JOB);
    owner.onCancelled(JOB);
    // Carried out before the answer to the report is there: the worker doesn't know the second yet.
    directs.get(0).reply().accept(new HttpResponse(200, report(4, TOKEN, fetching)));

    String stop = directs.get(directs.size() - 1).body();
    assertTrue(stop.contains("halt") && stop.contains("run-1/1"), stop);
    assertTrue(token(stop) > token(answer), "the worker must drop the answer: " + stop);
  }
}
