package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.util.List;
import org.mulleinshift.simulation.SimulatedCloud;
import org.mulleinshift.simulation.SimulatedMachine;
import org.mulleinshift.simulation.SimulatedWorker;
import org.mulleinshift.simulation.time.Timeline;

/** Commands that act on the cloud and on machines. */
final class MachineCommands {
  private final Timeline timeline;
  private final SimulatedCloud cloud;
  private final CommandTable cloudCommands = new CommandTable();

  MachineCommands(ScenarioContext context, CommandTable table) {
    this.timeline = context.timeline();
    this.cloud = context.cluster().cloud();
    cloudCommands.add("outage", line -> cloud.outage(line.number(1)));
    cloudCommands.add("stuck", line -> cloud.preventBoots(line.number(1)));
    cloudCommands.add("boots", line -> cloud.slowBoots(line.number(1), line.number(2)));
    cloudCommands.add("capacity", this::changeCapacity);
    table.addFault("cloud", line -> cloudCommands.run(line.skip(1)));
    table.addFault("machine", this::runOnMachines);
    table.addFault("unexpected", this::bootUnexpected);
  }

  /** {@code capacity TYPE ZONE COUNT}: sets the on-demand capacity, and the spot capacity to 0. */
  private void changeCapacity(ScenarioLine line) {
    cloud.onDemandCapacity(line.word(1), line.word(2), line.integer(THIRD));
    cloud.spotCapacity(line.word(1), line.word(2), 0);
  }

  /** {@code unexpected TYPE ZONE BOOT}: boots a machine that no controller provisioned. */
  private void bootUnexpected(ScenarioLine line) {
    cloud.createMachine(cloud.machineType(line.word(1)), line.word(2), line.number(THIRD));
  }

  /** {@code machine NUMBER|half|all ACTION ...}: acts on machines that are up. */
  private void runOnMachines(ScenarioLine line) {
    List<SimulatedMachine> up = cloud.runningMachines();
    if (up.isEmpty()) {
      return;
    }
    List<SimulatedMachine> chosen =
        switch (line.word(1)) {
          case "all" -> up;
          case "half" -> up.subList(0, up.size() / 2);
          default -> List.of(up.get(line.integer(1) % up.size()));
        };
    ScenarioLine action = line.skip(2);
    chosen.forEach(machine -> run(action, machine));
  }

  private void run(ScenarioLine action, SimulatedMachine machine) {
    switch (action.word(0)) {
      case "kill" -> cloud.delete(machine);
      case "recall" -> interrupt(machine, action.number(1));
      default -> runOnWorker(action, machine.worker().orElseThrow());
    }
  }

  private void interrupt(SimulatedMachine machine, double noticeSeconds) {
    machine.worker().orElseThrow().interrupt(noticeSeconds);
    timeline.after(noticeSeconds, () -> cloud.delete(machine));
  }

  private static void runOnWorker(ScenarioLine action, SimulatedWorker worker) {
    switch (action.word(0)) {
      case "sick" -> worker.failAllTasks();
      case "reboot" -> worker.reboot();
      case "deaf" -> stopReception(action, worker);
      case "hang" -> worker.hang(action.number(1));
      case "mute" -> worker.loseHeartbeats(action.number(1));
      case "slow" -> worker.slow(action.number(1));
      default -> throw action.unknownLine();
    }
  }

  /**
   * {@code deaf SECONDS [stays]}: no message reaches the worker, and it tries other controllers;
   * with {@code stays} it drops the replies as invalid and keeps its controller.
   */
  private static void stopReception(ScenarioLine action, SimulatedWorker worker) {
    if (action.size() > 2) {
      worker.dropReplies(action.number(1));
    } else {
      worker.dropIncomingMessages(action.number(1));
    }
  }
}
