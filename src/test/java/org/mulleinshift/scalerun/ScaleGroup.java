package org.mulleinshift.scalerun;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A scale run whose cells are spread over several processes, because one process would need too
 * many connections. Each process runs whole cells. As each cell has a fixed share of every team's
 * limit, a process can check the limits of its own cells alone.
 */
final class ScaleGroup {
  /** Heap of a process without its workers, MB. */
  private static final long HEAP_MB = 200;

  private final ScaleOptions options;
  private final List<String> arguments;

  /**
   * A group of processes that is not started yet.
   *
   * @param arguments command line, passed on to each process
   */
  ScaleGroup(ScaleOptions options, List<String> arguments) {
    this.options = options;
    this.arguments = arguments;
  }

  /** Runs all cells; true if no process reported a violation. */
  boolean play() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("scale-group");
    List<Process> processes = new ArrayList<>();
    List<Path> reports = new ArrayList<>();
    int perProcess = (options.cells + options.processes - 1) / options.processes;
    for (int first = 0; first < options.cells; first += perProcess) {
      Path report = folder.resolve("report-" + first + ".json");
      reports.add(report);
      processes.add(start(first, Math.min(perProcess, options.cells - first), report));
    }
    boolean passed = true;
    for (Process process : processes) {
      passed &= process.waitFor() == 0;
    }
    System.out.println(sum(reports));
    return passed;
  }

  private Process start(int first, int count, Path report) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMb(count) + "m");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(ScaleRun.class.getName());
    command.addAll(arguments);
    command.add("--processes=1");
    command.add("--first-cell=" + first);
    command.add("--cells-here=" + count);
    // Each process has its own loopback network, from LAST_NETWORK downwards.
    command.add("--network=" + (ScaleRun.LAST_NETWORK + 1 - (first + 1)));
    command.add("--report=" + report);
    return new ProcessBuilder(command).inheritIO().start();
  }

  private long heapMb(int cells) {
    double workers = (double) options.workers * cells / options.cells;
    return HEAP_MB + (long) (workers * ScaleRun.SIMULATOR_MB_PER_WORKER);
  }

  private static String sum(List<Path> reports) throws IOException {
    ObjectMapper json = new ObjectMapper();
    double starts = 0;
    double cores = 0;
    double requests = 0;
    double writes = 0;
    double peakMemoryMb = 0;
    double machineShare = 0;
    long worstUrgentP99 = 0;
    long workers = 0;
    for (Path report : reports) {
      JsonNode run = json.readTree(report.toFile()).get(0);
      starts += run.path("starts_per_s").asDouble();
      cores += run.path("controllers_cores").asDouble();
      requests += run.path("state_requests_per_s").asDouble();
      writes += run.path("state_changes_per_s").asDouble();
      machineShare += run.path("machine_share").asDouble();
      workers += run.path("workers_up").asLong();
      peakMemoryMb = Math.max(peakMemoryMb, run.path("most_memory_mb").asDouble());
      worstUrgentP99 = Math.max(worstUrgentP99, run.path("start_urgent_ms").path("p99").asLong());
    }
    return String.format(
        "all processes: %d workers, %.0f starts/s, controllers %.2f cores, most memory %.0f MB,"
            + " state services %.0f requests/s and %.0f changes/s, urgent start p99 %d ms in the"
            + " worst process, share of the machine %.2f",
        workers, starts, cores, peakMemoryMb, requests, writes, worstUrgentP99, machineShare);
  }
}
