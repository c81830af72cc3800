package org.mulleinshift.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ZoneId;

/** Tests the shortage that a queue simulation finds at its horizon. */
class QueueSimulationTest {
  private static final double HORIZON_SECONDS = 100;
  private static final int STEPS = 10;
  private static final ZoneId ZONE = new ZoneId("zone-a");
  private static final MachineId MACHINE = new MachineId("machine-1");
  private static final Resources ONE_CPU = new Resources(1, 0, 1);
  private static final Resources MACHINE_SIZE = new Resources(4, 0, 4);
  private static final MachineType TYPE =
      new MachineType(
          new MachineTypeId("c4"),
          MACHINE_SIZE,
          10,
          1,
          2,
          1,
          Duration.ofSeconds(60),
          List.of(ZONE));

  private final CapacitySnapshot snapshot = new CapacitySnapshot(HORIZON_SECONDS);

  private static MachineCapacity machine(Resources available) {
    return new MachineCapacity(
        MACHINE, MachineCapacity.NO_SHARD, ZONE, TYPE, false, available, Set.of());
  }

  private static PendingGroup group(int count, double runSeconds, double earliestStartSeconds) {
    ResourceRequest request =
        new ResourceRequest(ONE_CPU, "image", 0, List.of(), Optional.empty(), true);
    return new PendingGroup(request, runSeconds, false, count, earliestStartSeconds);
  }

  private int shortageOf(PendingGroup... waiting) {
    return QueueSimulation.run(snapshot, List.of(waiting), STEPS).shortage().stream()
        .mapToInt(PendingGroup::count)
        .sum();
  }

  @Test
  void tasksThatFitNoMachineAreTheShortage() {
    // Given a machine for four tasks, and tasks that run beyond the horizon
    snapshot.addMachine(machine(MACHINE_SIZE));
    // When six of them wait, then two are short
    assertEquals(2, shortageOf(group(6, 2 * HORIZON_SECONDS, 0)), "four of six tasks fit");
  }

  @Test
  void tasksThatEndMakeCapacityForOthers() {
    // Given a machine for four tasks, and tasks that run for a quarter of the horizon
    snapshot.addMachine(machine(MACHINE_SIZE));
    // When twelve of them wait, then all start before the horizon
    assertEquals(0, shortageOf(group(12, HORIZON_SECONDS / 4, 0)), "three waves of four fit");
  }

  @ParameterizedTest
  @CsvSource({"50, 0", "100, 0", "101, 4"})
  void capacityCountsIfItIsReleasedWithinTheHorizon(double atSeconds, int shortage) {
    // Given a machine that is available only later
    MachineCapacity booting = machine(Resources.ZERO);
    snapshot.addMachine(booting);
    snapshot.addRelease(atSeconds, booting, MACHINE_SIZE);
    // When four tasks wait, then they are short unless it comes in time
    assertEquals(shortage, shortageOf(group(4, 10, 0)), "released at " + atSeconds + " s");
  }

  @Test
  void tasksThatJoinLaterFindCapacityThatWasFreeAllAlong() {
    // Given a free machine
    snapshot.addMachine(machine(MACHINE_SIZE));
    // When tasks may start only after half of the horizon, then they find it
    PendingGroup later = group(4, 10, HORIZON_SECONDS / 2);
    assertEquals(0, shortageOf(later), "the machine is searched when the tasks join");
  }

  @Test
  void earlierGroupsOfTheQueueArePackedFirst() {
    // Given a machine for four tasks
    snapshot.addMachine(machine(MACHINE_SIZE));
    // When two groups of three wait
    PendingGroup first = group(3, 2 * HORIZON_SECONDS, 0);
    PendingGroup second = group(3, 3 * HORIZON_SECONDS, 0);
    QueueSimulation.Result result = QueueSimulation.run(snapshot, List.of(first, second), STEPS);
    // Then the second one is short, and the machine is used
    assertEquals(List.of(second.withCount(2)), result.shortage(), "the first group goes first");
    assertEquals(Set.of(MACHINE), result.usedMachines(), "tasks were packed onto the machine");
  }
}
