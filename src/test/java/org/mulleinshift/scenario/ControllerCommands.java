package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.settings.SettingsException;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedController;
import org.mulleinshift.simulation.time.Timeline;

/** Commands that act on controller processes. */
final class ControllerCommands {
  private static final double RESTART_SECONDS = 3;
  private static final double PERCENT = 100;

  private final Timeline timeline;
  private final SimulatedCluster cluster;
  private final Map<String, Object> tunables;

  /**
   * Adds the commands to the table.
   *
   * @param tunables the initial tunables
   */
  ControllerCommands(ScenarioContext context, CommandTable table, Map<String, Object> tunables) {
    this.timeline = context.timeline();
    this.cluster = context.cluster();
    this.tunables = new HashMap<>(tunables);
    table.addFault("crash", this::crash);
    table.addFault("stall", line -> cluster.controller(line.word(1)).stall(line.number(2)));
    table.addFault("heap", this::fillHeap);
    table.addFault("say", this::sendInvalidPeerFrame);
    table.add("operators", line -> changeTunable(line.word(1), line.number(2)));
  }

  private List<SimulatedController> controllers(String name) {
    return name.equals("all") ? cluster.controllers() : List.of(cluster.controller(name));
  }

  /**
   * {@code crash CONTROLLER|all [PAUSE]}: kills the processes and restarts them after the pause.
   */
  private void crash(ScenarioLine line) {
    double pause = line.numberOr(2, RESTART_SECONDS);
    for (SimulatedController controller : controllers(line.word(1))) {
      controller.kill();
      timeline.after(pause, controller::start);
    }
  }

  /** {@code heap CONTROLLER|all PERCENT SECONDS}: keeps this share of the heap in use. */
  private void fillHeap(ScenarioLine line) {
    List<SimulatedController> chosen = controllers(line.word(1));
    double share = line.number(2) / PERCENT;
    chosen.forEach(controller -> controller.setHeapUsage(share));
    timeline.after(
        line.number(THIRD), () -> chosen.forEach(controller -> controller.setHeapUsage(0)));
  }

  /** {@code say node-0 BYTES}: delivers a peer frame that no controller would send. */
  private void sendInvalidPeerFrame(ScenarioLine line) {
    cluster.controller(line.word(1)).onFrame(line.word(2).getBytes(StandardCharsets.UTF_8));
  }

  /**
   * {@code operators KEY VALUE}: changes a tunable, which controllers read when they start next.
   */
  private void changeTunable(String key, double value) {
    tunables.put(key, value);
    try {
      Tunables next = Tunables.parse("scenario", tunables);
      cluster.controllers().forEach(controller -> controller.tunables(next));
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
