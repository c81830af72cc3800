package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mulleinshift.GoldenFile;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.transport.MonotonicTime;

/** The phases and states that peer frames hold as text keep their wire names and their order. */
class PeerPhaseGoldenTest {
  private static final NodeId SENDER = new NodeId("n-1");
  private static final String PHASES = "peer/phases.hex";
  private static final String REACHABILITY = "peer/worker-links.hex";
  private static final String ALIVE = MachineLiveness.ALIVE.wireName();

  private final PeerCodec codec = new PeerCodec();

  private ShardStatus goldenStatus() throws MalformedMessageException {
    return (ShardStatus) codec.read(GoldenFile.bytes(PHASES)).getBodies().get(0);
  }

  private static MachineStatus machine(String phase, String liveness) {
    return new MachineStatus("i-1", phase, liveness, false, List.of());
  }

  private static OwnedMachine occupiedMachine() {
    MonotonicTime now = new MonotonicTime(0);
    MachineRecord record = new MachineRecord(new MachineTypeId("g8"), false, true);
    OwnedMachine machine = new OwnedMachine(new MachineId("i-1"), record, new Revision(7), now);
    JobId job = new JobId("run-1");
    WorkerHeartbeat.ReportedTask unassignedTask =
        new WorkerHeartbeat.ReportedTask(
            new TaskId(job, 0),
            new Attempt(1),
            WorkerHeartbeat.TaskState.RUNNING,
            WorkerHeartbeat.ExitCause.NONE);
    machine.setUnassignedTasks(List.of(unassignedTask));
    machine.updateUnreadableTasks(Set.of(job));
    return machine;
  }

  @Test
  void shardStatusesKeepTheWireNamesOfPhases() {
    List<MachineStatus> machines = new ArrayList<>();
    for (MachinePhase phase : MachinePhase.values()) {
      machines.add(machine(phase.wireName(), ALIVE));
    }
    for (MachineLiveness liveness : MachineLiveness.values()) {
      machines.add(machine(MachinePhase.CONFIRMED.wireName(), liveness.wireName()));
    }
    machines.add(machine(occupiedMachine().reportedPhase(), ALIVE));
    List<TaskStatus> tasks = new ArrayList<>();
    for (TaskPhase phase : TaskPhase.values()) {
      tasks.add(new TaskStatus("run-1", 0, 1L, phase.wireName(), "i-1", 0L));
    }
    ShardStatus status = new ShardStatus("a-0", 7L, 0L, 1L, 0L, 0L, machines, tasks);
    GoldenFile.assertHolds(PHASES, codec.write(SENDER, List.of(status)));
  }

  @Test
  void heartbeatsKeepTheWireNamesOfReachability() {
    List<Object> beats = new ArrayList<>();
    for (WorkerReachability.State state : WorkerReachability.State.values()) {
      beats.add(heartbeat(state.wireName()));
    }
    GoldenFile.assertHolds(REACHABILITY, codec.write(SENDER, beats));
  }

  private static Heartbeat heartbeat(String workers) {
    return new Heartbeat(1L, 0L, false, workers, "", 0L, "", false, List.of());
  }

  @Test
  void taskPhasesAreReadByTheirWireNames() throws MalformedMessageException {
    List<TaskPhase> read =
        goldenStatus().getTasks().stream()
            .map(task -> TaskPhase.fromWireName(task.getPhase()))
            .toList();
    assertEquals(Arrays.asList(TaskPhase.values()), read, "each phase by its name, in order");
  }

  @Test
  void reachabilityIsReadByItsWireNames() throws MalformedMessageException {
    List<WorkerReachability.State> read =
        codec.read(GoldenFile.bytes(REACHABILITY)).getBodies().stream()
            .map(beat -> PeerFailureDetector.workerReachability((Heartbeat) beat))
            .toList();
    assertEquals(
        Arrays.asList(WorkerReachability.State.values()), read, "each state by its name, in order");
  }

  @Test
  void unknownTaskPhaseIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> TaskPhase.fromWireName("PARKED"),
        "no phase has that name");
  }

  @Test
  void unknownReachabilityCountsAsReachable() {
    assertEquals(
        WorkerReachability.State.REACHABLE,
        PeerFailureDetector.workerReachability(heartbeat("PARKED")),
        "a newer version may send states that this one does not know");
  }

  @Test
  void onlyTheLastMachineIsReadAsOccupied() throws MalformedMessageException {
    List<MachineStatus> machines = goldenStatus().getMachines();
    int last = machines.size() - 1;
    assertTrue(
        OwnedMachine.hasUnreadableTasks(machines.get(last)),
        "the last one was written as occupied");
    assertFalse(
        machines.subList(0, last).stream().anyMatch(OwnedMachine::hasUnreadableTasks),
        "all others name a phase");
  }
}
