package org.mulleinshift.scalerun;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;

/** Measurements of a scale run, as text and as JSON. */
final class ScaleReport {
  private static final double BUSY_THREAD_SHARE = 0.85;
  private static final double BUSY_MACHINE_SHARE = 0.9;
  private static final int MAX_VIOLATIONS_LISTED = 20;
  private static final long URGENT_MILLIS = 1200;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_KB = 1024;
  private static final double DECIMALS = 10_000;
  private static final double PERCENT = 100;
  private static final double MEDIAN = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;
  private static final int THREADS_LISTED = 5;
  private static final double MIN_STARTS_PER_SECOND = 1e-9;

  /** Snapshot of all counters. */
  record Sample(
      double seconds,
      int starts,
      Map<String, ProcessUsage> controllers,
      Map<Integer, ScaleMeasures.SimulatorCounters> cells,
      double machineSeconds) {
    static Sample of(List<ScaleCell> cells) {
      Map<String, ProcessUsage> controllers = new TreeMap<>();
      Map<Integer, ScaleMeasures.SimulatorCounters> counters = new TreeMap<>();
      int starts = 0;
      for (int i = 0; i < cells.size(); i++) {
        ScaleCell cell = cells.get(i);
        cell.controllers().forEach(process -> controllers.put(process.label(), process.usage()));
        counters.put(i, cell.simulatorCounters());
        starts += cell.checker().tasks().starts();
      }
      double process = processSeconds();
      double all = process;
      for (ProcessUsage usage : controllers.values()) {
        all += usage.cpuSeconds();
      }
      return new Sample(System.nanoTime() / NANOS_PER_SECOND, starts, controllers, counters, all);
    }

    private static double processSeconds() {
      com.sun.management.OperatingSystemMXBean process =
          (com.sun.management.OperatingSystemMXBean)
              java.lang.management.ManagementFactory.getOperatingSystemMXBean();
      return process.getProcessCpuTime() / NANOS_PER_SECOND;
    }
  }

  private final ObjectNode figures;
  private final List<String> violations;
  private final List<String> notes = new ArrayList<>();

  private ScaleReport(ObjectNode figures, List<String> violations) {
    this.figures = figures;
    this.violations = violations;
  }

  /**
   * Input of the report.
   *
   * @param before counters when the measured part of the load began
   * @param after counters at the end of the load
   * @param lastFaultEnd time at which the last fault ended, seconds
   * @param folder directory of the controllers' logs
   */
  record Results(
      List<ScaleCell> cells,
      ScaleMeasures measures,
      Sample before,
      Sample after,
      ScaleFaults faults,
      double lastFaultEnd,
      Path folder) {
    double seconds() {
      return after.seconds() - before.seconds();
    }

    double startsPerSecond() {
      return (after.starts() - before.starts()) / seconds();
    }

    /** Share of the machine's processor time that the run used. */
    double machineShare() {
      return (after.machineSeconds() - before.machineSeconds())
          / seconds()
          / Runtime.getRuntime().availableProcessors();
    }
  }

  /** Report of a finished run; also runs the checks that apply at the end. */
  static ScaleReport of(ScaleOptions options, Results results) {
    ObjectNode node = new ObjectMapper().createObjectNode();
    ScaleReport report = new ScaleReport(node, new ArrayList<>());
    report.addSize(options, results.cells());
    report.put("starts_per_s", results.startsPerSecond());
    report.addLatencies(results.measures());
    report.addControllers(results);
    report.addSimulatorCounters(results);
    report.checkAtEnd(results.cells(), results.lastFaultEnd());
    report.addFaults(results.faults());
    report.put("machine_share", results.machineShare());
    if (results.machineShare() > BUSY_MACHINE_SHARE) {
      report.notes.add("the machine was the limit: all its processors were busy");
    }
    node.put("logs", results.folder().toString());
    report.notes.forEach(node.putArray("limits")::add);
    report.violations.stream().limit(MAX_VIOLATIONS_LISTED).forEach(node.putArray("broken")::add);
    node.put("passed", report.passed());
    return report;
  }

  private void addSize(ScaleOptions options, List<ScaleCell> cells) {
    figures.put("cells", options.cells);
    figures.put("workers", options.workers);
    figures.put(
        "workers_up", cells.stream().mapToInt(cell -> cell.simulatorCounters().machines()).sum());
    figures.put("starts_asked_per_s", options.startsPerSecond);
    figures.put("teams", options.teams);
    figures.put("seconds", options.seconds);
    figures.put("seed", options.seed);
  }

  private void put(String name, double value) {
    figures.put(name, Math.round(value * DECIMALS) / DECIMALS);
  }

  private void addLatencies(ScaleMeasures measures) {
    measures.firstStarts().forEach((name, times) -> addPercentiles("first_start_" + name, times));
    measures.starts().forEach((name, times) -> addPercentiles("start_" + name, times));
    addPercentiles("accepted", measures.accepted());
  }

  private void addPercentiles(String name, Histogram times) {
    ObjectNode node = figures.putObject(name + "_ms");
    node.put("count", times.getTotalCount());
    node.put("within_1200_ms", times.getPercentileAtOrBelowValue(URGENT_MILLIS) / PERCENT);
    node.put("p50", times.getValueAtPercentile(MEDIAN));
    node.put("p95", times.getValueAtPercentile(P95));
    node.put("p99", times.getValueAtPercentile(P99));
    node.put("max", times.getMaxValue());
  }

  private void addControllers(Results results) {
    ArrayNode list = figures.putArray("controllers");
    double leaders = 0;
    double busiestLoop = 0;
    double all = 0;
    double peak = 0;
    for (ScaleCell cell : results.cells()) {
      String leader = cell.leaderLabel();
      for (ControllerProcess process : cell.controllers()) {
        ProcessUsage used = usedBy(process, results);
        double cores = used.cpuSeconds() / results.seconds();
        boolean leads = process.label().equals(leader);
        addController(process, leads, used, results.seconds(), list.addObject());
        leaders += leads ? cores : 0;
        busiestLoop = Math.max(busiestLoop, used.loopSeconds() / results.seconds());
        all += cores;
        peak = Math.max(peak, used.peakMb());
      }
    }
    put("leader_cores", leaders / results.cells().size());
    put("busiest_loop_cores", busiestLoop);
    put("controllers_cores", all);
    put("most_memory_mb", peak);
    if (busiestLoop > BUSY_THREAD_SHARE) {
      notes.add("a controller's event loop was the limit");
    }
  }

  private static ProcessUsage usedBy(ControllerProcess process, Results results) {
    ProcessUsage before = results.before().controllers().get(process.label());
    return results.after().controllers().get(process.label()).since(before);
  }

  private void addController(
      ControllerProcess process,
      boolean leads,
      ProcessUsage used,
      double seconds,
      ObjectNode node) {
    node.put("label", process.label());
    node.put("leads", leads);
    node.put("cores", used.cpuSeconds() / seconds);
    node.put("loop_cores", used.loopSeconds() / seconds);
    node.put("memory_mb", used.peakMb());
    node.put("kb_per_s", used.ioBytes() / BYTES_PER_KB / seconds);
    node.put("sockets", used.sockets());
    node.put("ended_by_itself", process.unexpectedExits());
    used.busiest(THREADS_LISTED).forEach(node.putArray("threads_s")::add);
    if (process.unexpectedExits() > 0) {
      violations.add(process.label() + " ended by itself; see " + process.log());
    }
  }

  private void addSimulatorCounters(Results results) {
    double seconds = results.seconds();
    double requests = 0;
    double writes = 0;
    double storeBytes = 0;
    double workerBytes = 0;
    double machines = 0;
    double busiest = 0;
    long rateLimited = 0;
    long connections = 0;
    for (Integer cell : results.after().cells().keySet()) {
      ScaleMeasures.SimulatorCounters then = results.before().cells().get(cell);
      ScaleMeasures.SimulatorCounters now = results.after().cells().get(cell);
      requests += (now.storeRequests() - then.storeRequests()) / seconds;
      writes += (now.storeWrites() - then.storeWrites()) / seconds;
      storeBytes += (now.storeBytes() - then.storeBytes()) / seconds;
      workerBytes += (now.workerBytes() - then.workerBytes()) / seconds;
      rateLimited += now.storeRateLimited() - then.storeRateLimited();
      connections += now.workerConnections();
      machines += now.machines();
      busiest =
          Math.max(busiest, (now.workersThreadSeconds() - then.workersThreadSeconds()) / seconds);
      busiest = Math.max(busiest, (now.storeThreadSeconds() - then.storeThreadSeconds()) / seconds);
    }
    double starts = Math.max(MIN_STARTS_PER_SECOND, results.startsPerSecond());
    put("state_requests_per_s", requests);
    put("state_changes_per_s", writes);
    put("state_changes_per_start", writes / starts);
    put("state_kb_per_s", storeBytes / BYTES_PER_KB);
    figures.put("state_refused", rateLimited);
    put("worker_kb_per_s", workerBytes / BYTES_PER_KB / Math.max(1, machines));
    figures.put("worker_connections", connections);
    put("busiest_stand_in_cores", busiest);
    if (busiest > BUSY_THREAD_SHARE) {
      notes.add("the stand-ins were the limit: a thread of theirs was busy all the time");
    }
  }

  private void checkAtEnd(List<ScaleCell> cells, double lastFaultEnd) {
    int accepted = 0;
    int done = 0;
    int starts = 0;
    for (ScaleCell cell : cells) {
      InvariantChecker checker = cell.checker();
      cell.runAndWait(() -> checker.checkAtEnd(lastFaultEnd));
      violations.addAll(checker.violations().lines());
      starts += checker.tasks().starts();
      for (ObservedJob job : checker.jobs().all()) {
        accepted += job.accepted() ? 1 : 0;
        done += job.doneAt().isPresent() ? 1 : 0;
      }
    }
    figures.put("starts", starts);
    figures.put("jobs_accepted", accepted);
    figures.put("jobs_done", done);
    if (starts == 0) {
      violations.add("nothing_ran");
    }
  }

  private void addFaults(ScaleFaults faults) {
    ArrayNode list = figures.putArray("troubles");
    for (ScaleFaults.FaultImpact impact : faults.impacts()) {
      ObjectNode node = list.addObject();
      node.put("trouble", impact.fault());
      node.put("longest_without_start_s", impact.longestGap());
    }
  }

  boolean passed() {
    return violations.isEmpty();
  }

  List<String> violations() {
    return violations;
  }

  ObjectNode figures() {
    return figures;
  }

  String text() {
    StringBuilder text = new StringBuilder();
    figures
        .properties()
        .forEach(
            field ->
                text.append(field.getKey()).append(": ").append(field.getValue()).append('\n'));
    return text.toString();
  }

  /** Markdown table with a row for each run, to show how the figures grow with the size. */
  static String table(List<ScaleReport> reports) {
    List<String> columns =
        List.of(
            "workers",
            "starts_per_s",
            "leader_cores",
            "busiest_loop_cores",
            "controllers_cores",
            "most_memory_mb",
            "state_requests_per_s",
            "state_changes_per_s",
            "state_changes_per_start",
            "state_kb_per_s",
            "worker_kb_per_s",
            "busiest_stand_in_cores",
            "machine_share");
    StringBuilder text = new StringBuilder("| " + String.join(" | ", columns));
    text.append(" | urgent start p50 / p99, ms | limits |\n|");
    text.append(" --- |".repeat(columns.size() + 2)).append('\n');
    for (ScaleReport report : reports) {
      text.append('|');
      columns.forEach(column -> text.append(' ').append(report.figures.path(column)).append(" |"));
      var urgent = report.figures.path("start_urgent_ms");
      text.append(' ').append(urgent.path("p50")).append(" / ").append(urgent.path("p99"));
      text.append(" | ").append(String.join("; ", report.notes)).append(" |\n");
    }
    return text.toString();
  }

  static String json(List<ScaleReport> reports) {
    ArrayNode list = new ObjectMapper().createArrayNode();
    reports.forEach(report -> list.add(report.figures));
    return list.toPrettyString();
  }
}
