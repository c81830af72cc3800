package org.mulleinshift.coordination;

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
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.coordination.membership.Links;
import org.mulleinshift.coordination.membership.WorkerLink;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerReport;
import org.mulleinshift.protocol.peer.BlockReport;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.MachineReport;
import org.mulleinshift.protocol.peer.TaskReport;
import org.mulleinshift.transport.SteadyTime;

/** Phases and states that peer frames hold as text keep their names and their order. */
class PeerPhaseGoldenTest {
  private static final NodeId SENDER = new NodeId("n-1");
  private static final String PHASES = "peer/phases.hex";
  private static final String WORKER_LINKS = "peer/worker-links.hex";
  private static final String HEARD = HeldMachine.Silence.HEARD.wireName();

  private final PeerCodec codec = new PeerCodec();

  private BlockReport goldenReport() throws BadMessage {
    return (BlockReport) codec.read(GoldenFile.bytes(PHASES)).getBodies().get(0);
  }

  private static MachineReport machine(String phase, String silence) {
    return new MachineReport("i-1", phase, silence, false, List.of());
  }

  private static HeldMachine occupiedMachine() {
    SteadyTime now = new SteadyTime(0);
    MachineRecord record = new MachineRecord(new MachineTypeId("g8"), false, true);
    HeldMachine machine = new HeldMachine(new MachineId("i-1"), record, new Revision(7), now);
    JobId job = new JobId("run-1");
    WorkerReport.Entry stray =
        new WorkerReport.Entry(
            new TaskId(job, 0),
            new Attempt(1),
            WorkerReport.State.RUNNING,
            WorkerReport.Cause.NONE);
    machine.strays(List.of(stray));
    machine.occupiedBy(Set.of(job));
    return machine;
  }

  @Test
  void blockReportsNamePhasesAsBefore() {
    List<MachineReport> machines = new ArrayList<>();
    for (MachinePhase phase : MachinePhase.values()) {
      machines.add(machine(phase.wireName(), HEARD));
    }
    for (HeldMachine.Silence silence : HeldMachine.Silence.values()) {
      machines.add(machine(MachinePhase.CONFIRMED.wireName(), silence.wireName()));
    }
    machines.add(machine(occupiedMachine().toldPhase(), HEARD));
    List<TaskReport> tasks = new ArrayList<>();
    for (TaskPhase phase : TaskPhase.values()) {
      tasks.add(new TaskReport("run-1", 0, 1L, phase.wireName(), "i-1", 0L));
    }
    BlockReport report = new BlockReport("a-0", 7L, 0L, 1L, 0L, 0L, machines, tasks);
    GoldenFile.assertHolds(PHASES, codec.write(SENDER, List.of(report)));
  }

  @Test
  void heartbeatsNameTheWorkerLinkAsBefore() {
    List<Object> beats = new ArrayList<>();
    for (WorkerLink.State state : WorkerLink.State.values()) {
      beats.add(heartbeat(state.wireName()));
    }
    GoldenFile.assertHolds(WORKER_LINKS, codec.write(SENDER, beats));
  }

  private static Heartbeat heartbeat(String workers) {
    return new Heartbeat(1L, 0L, false, workers, "", 0L, "", false, List.of());
  }

  @Test
  void taskPhasesAreReadByTheirNames() throws BadMessage {
    List<TaskPhase> read =
        goldenReport().getTasks().stream()
            .map(task -> TaskPhase.fromWireName(task.getPhase()))
            .toList();
    assertEquals(Arrays.asList(TaskPhase.values()), read);
  }

  @Test
  void workerLinksAreReadByTheirNames() throws BadMessage {
    List<WorkerLink.State> read =
        codec.read(GoldenFile.bytes(WORKER_LINKS)).getBodies().stream()
            .map(beat -> Links.workers((Heartbeat) beat))
            .toList();
    assertEquals(Arrays.asList(WorkerLink.State.values()), read);
  }

  @Test
  void anUnknownTaskPhaseIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> TaskPhase.fromWireName("PARKED"));
  }

  @Test
  void anUnknownWorkerLinkCountsAsWell() {
    assertEquals(WorkerLink.State.WELL, Links.workers(heartbeat("PARKED")));
  }

  @Test
  void onlyTheLastMachineIsReadAsOccupied() throws BadMessage {
    List<MachineReport> machines = goldenReport().getMachines();
    int last = machines.size() - 1;
    assertTrue(HeldMachine.occupied(machines.get(last)));
    assertFalse(machines.subList(0, last).stream().anyMatch(HeldMachine::occupied));
  }
}
