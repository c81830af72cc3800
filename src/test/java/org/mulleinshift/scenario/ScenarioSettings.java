package org.mulleinshift.scenario;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.settings.ObjectiveKind;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.simulation.MachineSpec;
import org.mulleinshift.simulation.SimulatedCloud;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedWorker;

/** The cluster that a scenario describes, with its timed commands and its expectations. */
final class ScenarioSettings {
  private static final int BYTES_PER_KB = 1024;
  private static final int PUBLIC_PORT = 8080;
  private static final int PEER_PORT = 8081;
  private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(5);
  private static final PlatformSettings.CloudLimits CLOUD_LIMITS =
      new PlatformSettings.CloudLimits(8, Duration.ofSeconds(4));
  private static final PlatformSettings.ProcessLimits PROCESS_LIMITS =
      new PlatformSettings.ProcessLimits(1, 200, 500);

  /** First word of a line that names additional seeds for the scenario. */
  static final String SEEDS = "seeds";

  /** A command and the time at which it is executed, in seconds. */
  record TimedCommand(double seconds, ScenarioLine command) {}

  private final List<String> zones = new ArrayList<>(List.of("a", "b"));
  private final Map<String, Double> teamLimits = new LinkedHashMap<>();
  private final Map<String, Double> teamGuarantees = new LinkedHashMap<>();
  private final Map<String, Object> tunables = new HashMap<>();
  private final List<PlatformSettings.Objective> objectives = new ArrayList<>();
  private final List<ScenarioLine> machineTypes = new ArrayList<>();
  private final List<TimedCommand> commands = new ArrayList<>();
  private final List<ScenarioLine> expectations = new ArrayList<>();
  private double heartbeatSeconds = 2;
  private double leaseSeconds = 12;
  private double cancelSeconds = 32;
  private Map<String, String> storeFields = Map.of();
  private Map<String, String> nextStoreFields = Map.of();
  private int controllerCount = 3;
  private double endSeconds = 120;

  /**
   * Reads the lines of a scenario.
   *
   * @throws IllegalArgumentException if the first word of a line is unknown
   */
  ScenarioSettings(List<String> lines) {
    lines.stream().map(ScenarioLine::parse).forEach(this::read);
  }

  private void read(ScenarioLine line) {
    switch (line.word(0)) {
      case SEEDS -> {
        // Read by ScenarioCatalog.
      }
      case "nodes" -> controllerCount = line.integer(1);
      case "zones" -> {
        zones.clear();
        zones.addAll(line.skip(1).words());
      }
      case "team" -> readTeam(line);
      case "workers" -> readWorkerTiming(line.fields(1));
      case "aim" -> readObjective(line);
      case "state" -> storeFields = line.fields(1);
      case "next" -> nextStoreFields = line.fields(1);
      case "set" -> tunables.put(line.word(1), line.number(2));
      case "run" -> endSeconds = line.number(1);
      case "expect" -> expectations.add(line);
      case "type" -> machineTypes.add(line);
      case "at" -> commands.add(new TimedCommand(line.number(1), line.skip(2)));
      default -> throw line.unknownLine();
    }
  }

  private void readTeam(ScenarioLine line) {
    Map<String, String> fields = line.fields(2);
    teamLimits.put(line.word(1), number(fields, "max", "0"));
    teamGuarantees.put(line.word(1), number(fields, "cpus", "0"));
  }

  private void readWorkerTiming(Map<String, String> fields) {
    heartbeatSeconds = number(fields, "report", "2");
    leaseSeconds = number(fields, "lease", "12");
    cancelSeconds = number(fields, "cancel", "32");
  }

  private void readObjective(ScenarioLine line) {
    Map<String, String> fields = line.fields(2);
    objectives.add(
        new PlatformSettings.Objective(
            ObjectiveKind.fromSetting(line.word(1)),
            Optional.ofNullable(fields.get("class")),
            number(fields, "within", "0"),
            number(fields, "times", "0")));
  }

  private static double number(Map<String, String> fields, String name, String defaultValue) {
    return Double.parseDouble(fields.getOrDefault(name, defaultValue));
  }

  /** The store limits in {@code rps=200 writes=40 kb=8 ops=12}, with no later limits announced. */
  static PlatformSettings.StoreLimits storeLimits(Map<String, String> fields) {
    return storeLimits(fields, Optional.empty());
  }

  private static PlatformSettings.StoreLimits storeLimits(
      Map<String, String> fields, Optional<PlatformSettings.StoreLimits> next) {
    return new PlatformSettings.StoreLimits(
        number(fields, "rps", "200"),
        number(fields, "writes", "40"),
        (int) (BYTES_PER_KB * number(fields, "kb", "8")),
        Integer.parseInt(fields.getOrDefault("ops", "12")),
        next);
  }

  /** The store's limits at the start, with those that the settings announce for later. */
  PlatformSettings.StoreLimits storeLimits() {
    Optional<PlatformSettings.StoreLimits> next =
        nextStoreFields.isEmpty() ? Optional.empty() : Optional.of(storeLimits(nextStoreFields));
    return storeLimits(storeFields, next);
  }

  int controllerCount() {
    return controllerCount;
  }

  double endSeconds() {
    return endSeconds;
  }

  double cancelSeconds() {
    return cancelSeconds;
  }

  SimulatedWorker.Timing workerTiming() {
    return new SimulatedWorker.Timing(heartbeatSeconds, leaseSeconds);
  }

  Map<String, Double> teamLimits() {
    return teamLimits;
  }

  /** The initial tunables by their keys. */
  Map<String, Object> tunables() {
    return tunables;
  }

  List<TimedCommand> commands() {
    return commands;
  }

  List<ScenarioLine> expectations() {
    return expectations;
  }

  /** Adds the machine types and their capacity in each zone to the cloud. */
  void addMachineTypes(SimulatedCloud cloud) {
    machineTypes.forEach(line -> addMachineType(cloud, line));
  }

  /**
   * {@code type small cpus=8 ram=32 price=1 spot=0.4 boot=10 a=4/2 b=2}: zone a has capacity for 4
   * on-demand and 2 spot machines, zone b for 2 on-demand machines.
   */
  private void addMachineType(SimulatedCloud cloud, ScenarioLine line) {
    String name = line.word(1);
    Map<String, String> fields = line.fields(2);
    cloud.addMachineType(
        new MachineSpec(
            name,
            Double.parseDouble(fields.get("cpus")),
            number(fields, "ram", "1000"),
            number(fields, "price", "1"),
            number(fields, "spot", "0.4"),
            number(fields, "boot", "10")));
    for (String zone : zones) {
      if (fields.containsKey(zone)) {
        String[] counts = fields.get(zone).split("/", 0);
        cloud.onDemandCapacity(name, zone, Integer.parseInt(counts[0]));
        if (counts.length > 1) {
          cloud.spotCapacity(name, zone, Integer.parseInt(counts[1]));
        }
      }
    }
  }

  /** The platform settings of the controller with the index. */
  PlatformSettings platformSettings(int index) {
    List<PlatformSettings.Member> members = new ArrayList<>();
    for (int i = 0; i < controllerCount; i++) {
      if (i != index) {
        members.add(new PlatformSettings.Member(labelOf(i), zoneOf(i), address(i, PEER_PORT)));
      }
    }
    return new PlatformSettings(
        labelOf(index),
        zoneOf(index),
        address(index, PUBLIC_PORT),
        address(index, PEER_PORT),
        members,
        SimulatedCluster.CLOUD_ADDRESS,
        SimulatedCluster.STORE_ADDRESS,
        clusterSettings(),
        PROCESS_LIMITS);
  }

  private PlatformSettings.Cluster clusterSettings() {
    return new PlatformSettings.Cluster(
        controllerCount,
        zones,
        CLOCK_TOLERANCE,
        teams(),
        objectives,
        new PlatformSettings.WorkerTiming(
            millis(heartbeatSeconds), millis(leaseSeconds), millis(cancelSeconds)),
        storeLimits(),
        CLOUD_LIMITS);
  }

  private List<PlatformSettings.Team> teams() {
    List<PlatformSettings.Team> teams = new ArrayList<>();
    teamLimits.forEach(
        (name, limit) ->
            teams.add(new PlatformSettings.Team(name, teamGuarantees.get(name), limit, 0, 0)));
    return teams;
  }

  private static Duration millis(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  private static String labelOf(int index) {
    return "node-" + index;
  }

  private String zoneOf(int index) {
    return zones.get(index % zones.size());
  }

  private static InetSocketAddress address(int index, int port) {
    return new InetSocketAddress("10.0.0." + (index + 1), port);
  }
}
