package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a scale run measured, as text and for machines. */
final class ScaleReport {
  private static final double BUSY_THREAD = 0.85;
  private static final double BUSY_MACHINE = 0.9;
  private static final int MAX_NAMED = 20;
  private static final long URGENT_MILLIS = 1200;

  /** All counters at a moment. */
  record Sample(
      double seconds,
      int starts,
      Map<String, ProcessFigures> controllers,
      Map<Integer, ScaleMeasures.StandIns> cells,
      double machineSeconds) {
    static Sample of(List<ScaleCell> cells) {
      Map<String, ProcessFigures> controllers = new TreeMap<>();
      Map<Integer, ScaleMeasures.StandIns> standIns = new TreeMap<>();
      int starts = 0;
      for (int i = 0; i < cells.size(); i++) {
        ScaleCell cell = cells.get(i);
        cell.controllers().forEach(node -> controllers.put(node.label(), node.figures()));
        standIns.put(i, cell.standIns());
        starts += cell.rules().starts();
      }
      double process = processSeconds();
      double all = process;
      for (ProcessFigures figures : controllers.values()) {
        all += figures.cpuSeconds();
      }
      return new Sample(System.nanoTime() / 1e9, starts, controllers, standIns, all);
    }

    private static double processSeconds() {
      com.sun.management.OperatingSystemMXBean process =
          (com.sun.management.OperatingSystemMXBean)
              java.lang.management.ManagementFactory.getOperatingSystemMXBean();
      return process.getProcessCpuTime() / 1e9;
    }
  }

  private final ObjectNode figures;
  private final List<String> broken;
  private final List<String> notes = new ArrayList<>();

  private ScaleReport(ObjectNode figures, List<String> broken) {
    this.figures = figures;
    this.broken = broken;
  }

  static ScaleReport of(
      ScaleOptions options,
      List<ScaleCell> cells,
      ScaleMeasures measures,
      Sample before,
      Sample after,
      ScaleTroubles troubles,
      double calmSince,
      Path folder) {
    ObjectNode node = new ObjectMapper().createObjectNode();
    List<String> broken = new ArrayList<>();
    ScaleReport report = new ScaleReport(node, broken);
    double seconds = after.seconds() - before.seconds();
    report.size(options, cells);
    report.put("starts_per_s", (after.starts() - before.starts()) / seconds);
    report.latencies(measures);
    report.controllers(cells, before, after, seconds);
    report.standIns(before, after, seconds);
    report.ends(cells, calmSince);
    report.troubles(troubles);
    double machine =
        (after.machineSeconds() - before.machineSeconds())
            / seconds
            / Runtime.getRuntime().availableProcessors();
    report.put("machine_share", machine);
    if (machine > BUSY_MACHINE) {
      report.notes.add("the machine was the limit: all its processors were busy");
    }
    node.put("logs", folder.toString());
    report.notes.forEach(node.putArray("limits")::add);
    broken.stream().limit(MAX_NAMED).forEach(node.putArray("broken")::add);
    node.put("passed", report.passed());
    return report;
  }

  private void size(ScaleOptions options, List<ScaleCell> cells) {
    figures.put("cells", options.cells);
    figures.put("workers", options.workers);
    figures.put("workers_up", cells.stream().mapToInt(cell -> cell.standIns().machines()).sum());
    figures.put("starts_asked_per_s", options.starts);
    figures.put("teams", options.teams);
    figures.put("seconds", options.seconds);
    figures.put("seed", options.seed);
  }

  private void put(String name, double value) {
    figures.put(name, Math.round(value * 10_000) / 10_000.0);
  }

  private void latencies(ScaleMeasures measures) {
    measures.firstStarts().forEach((name, times) -> percentiles("first_start_" + name, times));
    measures.starts().forEach((name, times) -> percentiles("start_" + name, times));
    percentiles("accepted", measures.accepted());
  }

  private void percentiles(String name, Histogram times) {
    ObjectNode node = figures.putObject(name + "_ms");
    node.put("count", times.getTotalCount());
    node.put("within_1200_ms", times.getPercentileAtOrBelowValue(URGENT_MILLIS) / 100);
    node.put("p50", times.getValueAtPercentile(50));
    node.put("p95", times.getValueAtPercentile(95));
    node.put("p99", times.getValueAtPercentile(99));
    node.put("max", times.getMaxValue());
  }

  private void controllers(List<ScaleCell> cells, Sample before, Sample after, double seconds) {
    ArrayNode list = figures.putArray("controllers");
    double leaders = 0;
    double loops = 0;
    double all = 0;
    double peak = 0;
    for (ScaleCell cell : cells) {
      String leader = cell.leaderLabel();
      for (ControllerProcess process : cell.controllers()) {
        ProcessFigures used =
            after
                .controllers()
                .get(process.label())
                .since(before.controllers().get(process.label()));
        boolean leads = process.label().equals(leader);
        ObjectNode node = list.addObject();
        node.put("label", process.label());
        node.put("leads", leads);
        node.put("cores", used.cpuSeconds() / seconds);
        node.put("loop_cores", used.loopSeconds() / seconds);
        node.put("memory_mb", used.peakMb());
        node.put("kb_per_s", used.ioBytes() / 1024.0 / seconds);
        node.put("sockets", used.sockets());
        node.put("ended_by_itself", process.endedByItself());
        used.busiest(5).forEach(node.putArray("threads_s")::add);
        leaders += leads ? used.cpuSeconds() / seconds : 0;
        loops = Math.max(loops, used.loopSeconds() / seconds);
        all += used.cpuSeconds() / seconds;
        peak = Math.max(peak, used.peakMb());
        if (process.endedByItself() > 0) {
          broken.add(process.label() + " ended by itself; see " + process.log());
        }
      }
    }
    put("leader_cores", leaders / cells.size());
    put("busiest_loop_cores", loops);
    put("controllers_cores", all);
    put("most_memory_mb", peak);
    if (loops > BUSY_THREAD) {
      notes.add("a controller's event loop was the limit");
    }
  }

  private void standIns(Sample before, Sample after, double seconds) {
    double requests = 0;
    double changes = 0;
    double stateBytes = 0;
    double workerBytes = 0;
    double machines = 0;
    double busiest = 0;
    long refused = 0;
    long connections = 0;
    for (Integer cell : after.cells().keySet()) {
      ScaleMeasures.StandIns then = before.cells().get(cell);
      ScaleMeasures.StandIns now = after.cells().get(cell);
      requests += (now.stateRequests() - then.stateRequests()) / seconds;
      changes += (now.stateChanges() - then.stateChanges()) / seconds;
      stateBytes += (now.stateBytes() - then.stateBytes()) / seconds;
      workerBytes += (now.workerBytes() - then.workerBytes()) / seconds;
      refused += now.stateRefused() - then.stateRefused();
      connections += now.workerConnections();
      machines += now.machines();
      busiest = Math.max(busiest, (now.workersSeconds() - then.workersSeconds()) / seconds);
      busiest = Math.max(busiest, (now.stateSeconds() - then.stateSeconds()) / seconds);
    }
    double starts = Math.max(1e-9, (after.starts() - before.starts()) / seconds);
    put("state_requests_per_s", requests);
    put("state_changes_per_s", changes);
    put("state_changes_per_start", changes / starts);
    put("state_kb_per_s", stateBytes / 1024);
    figures.put("state_refused", refused);
    put("worker_kb_per_s", workerBytes / 1024 / Math.max(1, machines));
    figures.put("worker_connections", connections);
    put("busiest_stand_in_cores", busiest);
    if (busiest > BUSY_THREAD) {
      notes.add("the stand-ins were the limit: a thread of theirs was busy all the time");
    }
  }

  private void ends(List<ScaleCell> cells, double calmSince) {
    int accepted = 0;
    int done = 0;
    int starts = 0;
    for (ScaleCell cell : cells) {
      RuleBook rules = cell.rules();
      cell.inWorld(() -> rules.end(calmSince));
      broken.addAll(rules.broken());
      starts += rules.starts();
      for (RuleBook.TrueJob job : rules.jobs()) {
        accepted += job.accepted ? 1 : 0;
        done += job.toldDoneAt != null ? 1 : 0;
      }
    }
    figures.put("starts", starts);
    figures.put("jobs_accepted", accepted);
    figures.put("jobs_done", done);
    if (starts == 0) {
      broken.add("nothing_ran");
    }
  }

  private void troubles(ScaleTroubles troubles) {
    ArrayNode list = figures.putArray("troubles");
    for (ScaleTroubles.Healed healed : troubles.healed()) {
      ObjectNode node = list.addObject();
      node.put("trouble", healed.trouble());
      node.put("longest_without_start_s", healed.longestGap());
    }
  }

  boolean passed() {
    return broken.isEmpty();
  }

  List<String> broken() {
    return broken;
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

  /** One row a run: the slope against the size. */
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
