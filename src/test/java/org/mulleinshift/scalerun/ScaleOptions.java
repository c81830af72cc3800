package org.mulleinshift.scalerun;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** What a scale run plays; sizes count for all cells together. */
final class ScaleOptions {
  @Option(names = "--cells", description = "Cells, each with its own controllers and services.")
  int cells = 1;

  @Option(names = "--first-cell", hidden = true)
  int firstCell;

  @Option(names = "--cells-here", hidden = true)
  int cellsHere;

  @Option(names = "--network", hidden = true)
  int network;

  @Option(names = "--processes", description = "Processes that the hollow workers share.")
  int processes = 1;

  @Option(names = "--controllers", description = "Controllers of a cell.")
  int controllers = 3;

  @Option(names = "--workers", description = "Hollow workers.")
  int workers = 100;

  @Option(names = "--worker-cpus", description = "Processors of a worker; a task takes one.")
  double workerCpus = 6;

  @Option(names = "--starts", description = "Task starts a second, on average.")
  double startsPerSecond = 30;

  @Option(names = "--run-s", description = "Run time of a task of the larger class, seconds.")
  double runSeconds = 20;

  @Option(names = "--urgent-share", description = "Share of the starts that is urgent.")
  double urgentShare = 0.3;

  @Option(names = "--urgent-tasks", description = "Tasks of an urgent job.")
  int urgentTasks = 20;

  @Option(names = "--batch-tasks", description = "Tasks of another job.")
  int batchTasks = 100;

  @Option(names = "--cancelled", description = "Share of the jobs that their users cancel.")
  double cancelledShare = 0.02;

  @Option(names = "--teams", description = "Teams with quotas.")
  int teams = 10;

  @Option(
      names = "--team-limit",
      description = "Processors that each team may use in a cell; 0: four times its fair share.")
  double teamLimit;

  @Option(names = "--seconds", description = "Length of the run.")
  double seconds = 60;

  @Option(names = "--settle-s", description = "Time for workers to be taken up before any load.")
  double settleSeconds = 5;

  @Option(names = "--warmup-s", description = "What starts before this is not measured, seconds.")
  double warmupSeconds = 20;

  @Option(names = "--seed", description = "Seed of all chances of the stand-ins.")
  long seed = 1;

  @Option(names = "--report-s", description = "Time between reports of a worker, seconds.")
  double reportSeconds = 4;

  @Option(names = "--lease-s", description = "Lease of a worker, seconds.")
  double leaseSeconds = 22;

  @Option(names = "--cancel-s", description = "Time within which a cancelled job is gone, seconds.")
  double cancelSeconds = 42;

  @Option(names = "--state-rps", description = "Requests a second that a state service takes.")
  double storeRequestsPerSecond = 1800;

  @Option(names = "--state-write-rps", description = "Changes a second that it takes.")
  double storeWritesPerSecond = 360;

  @Option(names = "--state-ms", description = "Time that it takes to answer, milliseconds.")
  double storeLatencyMillis = 4;

  @Option(names = "--value-kb", description = "Longest value of a state service, KiB.")
  double valueKb = 16;

  @Option(names = "--jvm", description = "Further options of the controllers' virtual machines.")
  List<String> jvm = new ArrayList<>();

  @Option(names = "--tunables", description = "The operators' own settings of the controllers.")
  Path tunables;

  @Option(
      names = "--trouble",
      description =
          "AT:KIND[:NUMBER], AT in seconds: kill-leader, kill-controller:INDEX, kill-workers:N,"
              + " restart-workers:N, zone-dark:SECONDS, state-out:SECONDS,"
              + " controller-unreachable:SECONDS (by workers).")
  List<String> faults = new ArrayList<>();

  @Option(
      names = "--wrong-limits",
      description = "Tells the controllers this many times the teams' limits: the run must fail.")
  double limitFactor = 1;

  @Option(names = "--report", description = "File for the machine-readable report (JSON).")
  Path report;

  @Option(
      names = "--sizes",
      split = ",",
      description = "Several numbers of workers, played one after another; starts go with them.")
  List<Integer> sizes = new ArrayList<>();

  @Option(names = "--jar", description = "The packaged program.")
  Path jar = Path.of("target/mulleinshift.jar");

  /** How many cells this process plays. */
  int cellsHere() {
    return cellsHere == 0 ? cells : cellsHere;
  }
}
