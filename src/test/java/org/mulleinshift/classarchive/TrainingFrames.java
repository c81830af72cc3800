package org.mulleinshift.classarchive;

import java.util.List;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;

/** Peer messages about no shard that the controller has; it decodes and then ignores them. */
final class TrainingFrames {
  private static final String SHARD = "b";

  private TrainingFrames() {}

  static List<Object> all() {
    AssignedTask task = new AssignedTask(1, 1L, true, false);
    AssignedJob job =
        new AssignedJob("j", 1.0, 0.0, 1.0, "b", 1.0, 0.0, List.of("r"), true, 1, List.of(task));
    return List.of(
        new Heartbeat(1L, 1L, false, "WELL", "", 0L, "", false, List.of()),
        new ShardAssignment(
            1L, SHARD, 1L, 0L, 1L, List.of(new RemovedTask("j", 2)), List.of(job), List.of("i-2")),
        shardStatus(),
        new ShardStatusAck(1L, SHARD, 1L, 1L),
        new OwnerSuspicion(SHARD, 1L, List.of("i-1")),
        new UnknownWorkerReport("i-3", "127.0.0.1:1", "r", "here", true),
        new JobSummary(List.of(new JobTaskCounts("j", 1, 1))));
  }

  private static ShardStatus shardStatus() {
    return new ShardStatus(
        SHARD,
        1L,
        0L,
        1L,
        1L,
        1L,
        List.of(new MachineStatus("i-1", "CONFIRMED", "HEARD", false, List.of("b"))),
        List.of(new TaskStatus("j", 1, 1L, "RUNNING", "i-1", 1L)));
  }
}
