package org.mulleinshift.scalerun;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Command line of a scale run; sizes and rates are totals over all cells. */
final class ScaleOptions {
  @Option(names = "--cells", description = "Cells, each with its own controllers and services.")
  int cells = 1;

  @Option(names = "--first-cell", hidden = true)
  int firstCell;

  @Option(names = "--cells-here", hidden = true)
  int cellsHere;

  @Option(names = "--network", hidden = true)
  int network;

  @Option(names = "--processes", description = "Processes over which the cells are spread.")
  int processes = 1;

  @Option(names = "--controllers", description = "Controllers per cell.")
  int controllers = 3;

  @Option(names = "--workers", description = "Simulated workers.")
  int workers = 100;

  @Option(names = "--worker-cpus", description = "Processors of a worker; a task takes one.")
  double workerCpus = 6;

  @Option(names = "--starts", description = "Average task starts per second.")
  double startsPerSecond = 30;

  @Option(names = "--run-s", description = "Run time of a batch task, seconds.")
  double runSeconds = 20;

  @Option(names = "--urgent-share", description = "Share of task starts that are urgent.")
  double urgentShare = 0.3;

  @Option(names = "--urgent-tasks", description = "Tasks per urgent job.")
  int urgentTasks = 20;

  @Option(names = "--batch-tasks", description = "Tasks per batch job.")
  int batchTasks = 100;

  @Option(names = "--cancelled", description = "Share of jobs cancelled by their users.")
  double cancelledShare = 0.02;

  @Option(names = "--teams", description = "Teams with quotas.")
  int teams = 10;

  @Option(
      names = "--team-limit",
      description = "Processors that each team may use in a cell; 0: four times its fair share.")
  double teamLimit;

  @Option(names = "--seconds", description = "Length of the load, seconds.")
  double seconds = 60;

  @Option(
      names = "--settle-s",
      description = "Time for workers to register before the load, seconds.")
  double settleSeconds = 5;

  @Option(names = "--warmup-s", description = "Start of the load that is not measured, seconds.")
  double warmupSeconds = 20;

  @Option(names = "--seed", description = "Random seed of the simulated services and workers.")
  long seed = 1;

  @Option(names = "--report-s", description = "Interval of a worker's heartbeats, seconds.")
  double reportSeconds = 4;

  @Option(names = "--lease-s", description = "Lease of a worker, seconds.")
  double leaseSeconds = 22;

  @Option(names = "--cancel-s", description = "Time limit for a cancelled job to end, seconds.")
  double cancelSeconds = 42;

  @Option(names = "--state-rps", description = "Request limit of the key-value stores per second.")
  double storeRequestsPerSecond = 1800;

  @Option(
      names = "--state-write-rps",
      description = "Write limit of the key-value stores per second.")
  double storeWritesPerSecond = 360;

  @Option(names = "--state-ms", description = "Latency of the key-value store, milliseconds.")
  double storeLatencyMillis = 4;

  @Option(names = "--value-kb", description = "Largest value in the key-value store, KiB.")
  double valueKb = 16;

  @Option(names = "--jvm", description = "Additional JVM options of the controllers.")
  List<String> jvm = new ArrayList<>();

  @Option(names = "--tunables", description = "Tunables file passed to the controllers.")
  Path tunables;

  @Option(
      names = "--trouble",
      description =
          "AT:KIND[:NUMBER], AT in seconds: kill-leader, kill-controller:INDEX, kill-workers:N,"
              + " restart-workers:N, zone-dark:SECONDS, state-out:SECONDS,"
              + " controller-unreachable:SECONDS (for workers).")
  List<String> faults = new ArrayList<>();

  @Option(
      names = "--wrong-limits",
      description =
          "Factor on the teams' limits in the controllers' settings; above 1 the run must fail.")
  double limitFactor = 1;

  @Option(names = "--report", description = "File for the machine-readable report (JSON).")
  Path report;

  @Option(
      names = "--sizes",
      split = ",",
      description = "Numbers of workers, run one after another; starts scale with them.")
  List<Integer> sizes = new ArrayList<>();

  @Option(names = "--jar", description = "Jar of the packaged program.")
  Path jar = Path.of("target/mulleinshift.jar");

  /** Number of cells that this process runs. */
  int cellsHere() {
    return cellsHere == 0 ? cells : cellsHere;
  }
}
