package org.mulleinshift.scalerun;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.mulleinshift.invariants.TeamUsage;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * The scale run: real controller processes on loopback addresses, with simulated workers that speak
 * the full worker protocol and run no work. Exits by itself; fails if an invariant was violated.
 */
@Command(name = "scale-run", mixinStandardHelpOptions = true, sortOptions = false)
public final class ScaleRun implements Callable<Integer> {
  private static final int EXIT_VIOLATION = 1;
  private static final double READY_WITHIN_SECONDS = 60;
  private static final double READY_POLL_SECONDS = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MB = 1e6;
  private static final double DRAIN_SECONDS = 12;
  private static final int IO_THREADS = 2;
  private static final int STORE_PORT = 2379;

  /**
   * Highest loopback network, the second octet of addresses. Processes of a group count down from
   * it; other runs choose networks up to {@link #LAST_PROBED_NETWORK}.
   */
  static final int LAST_NETWORK = 250;

  private static final int LAST_PROBED_NETWORK = 200;

  /** Share of the machine's memory that a run may use. */
  private static final double MEMORY_SHARE = 0.5;

  private static final double CONTROLLER_MB = 250;
  static final double SIMULATOR_MB_PER_WORKER = 0.15;
  private static final int CONNECTIONS_PER_WORKER = 3;

  @Mixin private ScaleOptions options = new ScaleOptions();

  private final List<ScaleReport> reports = new ArrayList<>();
  private List<String> arguments = List.of();

  /** Performs a scale run; {@code --help} lists the options. */
  public static void main(String[] args) {
    ScaleRun run = new ScaleRun();
    run.arguments = List.of(args);
    int code = new CommandLine(run).setOverwrittenOptionsAllowed(true).execute(args);
    System.exit(code);
  }

  ScaleRun() {}

  /**
   * Performs a run of one size, for tests.
   *
   * @param more further arguments, which override the first
   * @return the violations found; empty if the run passed
   */
  public static List<String> violationsOf(String[] arguments, String... more)
      throws IOException, InterruptedException {
    ScaleRun run = new ScaleRun();
    CommandLine line = new CommandLine(run).setOverwrittenOptionsAllowed(true);
    line.parseArgs(Stream.concat(Stream.of(arguments), Stream.of(more)).toArray(String[]::new));
    return run.play().violations();
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (options.processes > 1) {
      return new ScaleGroup(options, arguments).play() ? 0 : EXIT_VIOLATION;
    }
    List<Integer> sizes = options.sizes.isEmpty() ? List.of(options.workers) : options.sizes;
    double startsPerWorker = options.startsPerSecond / options.workers;
    for (int size : sizes) {
      options.workers = size;
      options.startsPerSecond = startsPerWorker * size;
      ScaleReport report = play();
      reports.add(report);
      System.out.println(report.text());
    }
    if (reports.size() > 1) {
      System.out.println(ScaleReport.table(reports));
    }
    if (options.report != null) {
      Files.writeString(options.report, ScaleReport.json(reports));
    }
    return reports.stream().allMatch(ScaleReport::passed) ? 0 : EXIT_VIOLATION;
  }

  /** Performs a run of one size. */
  ScaleReport play() throws IOException, InterruptedException {
    checkBounds();
    Path folder = Files.createTempDirectory("scale-run");
    EventLoopGroup threads = new NioEventLoopGroup(IO_THREADS);
    ExecutorService responses = Executors.newFixedThreadPool(IO_THREADS);
    ScaleMeasures measures = new ScaleMeasures();
    ScaleCell.Shared shared =
        new ScaleCell.Shared(
            options,
            options.network > 0 ? options.network : freeNetwork(),
            folder,
            threads,
            HttpClient.newBuilder().executor(responses).build(),
            new TeamUsage(),
            measures);
    List<ScaleCell> cells = new ArrayList<>();
    for (int i = 0; i < options.cellsHere(); i++) {
      cells.add(new ScaleCell(shared, options.firstCell + i));
    }
    Thread killOnExit = new Thread(() -> cells.forEach(ScaleCell::killControllers));
    Runtime.getRuntime().addShutdownHook(killOnExit);
    try {
      return play(cells, measures, folder);
    } finally {
      cells.forEach(ScaleCell::stop);
      Runtime.getRuntime().removeShutdownHook(killOnExit);
      Future<?> unused = threads.shutdownGracefully();
      responses.shutdownNow();
    }
  }

  private ScaleReport play(List<ScaleCell> cells, ScaleMeasures measures, Path folder)
      throws IOException, InterruptedException {
    for (ScaleCell cell : cells) {
      cell.start();
    }
    awaitReady(cells);
    sleep(options.settleSeconds);
    double loadStart = cells.get(0).timeline().seconds();
    for (ScaleCell cell : cells) {
      cell.submitUntil(cell.timeline().seconds() + options.seconds);
    }
    ScaleFaults faults = new ScaleFaults(options.faults, cells);
    measures.measureFrom(loadStart + options.warmupSeconds);
    ScaleReport.Sample before = null;
    for (double at = 1; at <= options.seconds; at++) {
      sleep(loadStart + at - cells.get(0).timeline().seconds());
      faults.injectDue(at);
      cells.forEach(cell -> cell.controllers().forEach(ControllerProcess::restartIfExited));
      if (before == null && at >= options.warmupSeconds) {
        before = ScaleReport.Sample.of(cells);
      }
    }
    ScaleReport.Sample after = ScaleReport.Sample.of(cells);
    sleep(DRAIN_SECONDS);
    double lastFaultEnd = loadStart + Math.max(faults.lastFaultEnd(), 0);
    return ScaleReport.of(
        options,
        new ScaleReport.Results(cells, measures, before, after, faults, lastFaultEnd, folder));
  }

  private static void awaitReady(List<ScaleCell> cells) throws InterruptedException {
    long until = System.nanoTime() + (long) (READY_WITHIN_SECONDS * NANOS_PER_SECOND);
    while (!cells.stream().allMatch(ScaleCell::ready)) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException("controllers were not ready in time");
      }
      sleep(READY_POLL_SECONDS);
    }
  }

  private static void sleep(double seconds) throws InterruptedException {
    Thread.sleep((long) (1000 * Math.max(0, seconds)));
  }

  /** Rejects a run that would need too much memory or too many connections. */
  private void checkBounds() {
    double wanted =
        options.cells * options.controllers * CONTROLLER_MB
            + options.workers * SIMULATOR_MB_PER_WORKER;
    double allowed = MEMORY_SHARE * machineMemoryMb();
    if (wanted > allowed) {
      throw new IllegalArgumentException(
          String.format("the run would need %.0f MB, and may use %.0f MB", wanted, allowed));
    }
    long files = openFilesLimit();
    long connections =
        (long) CONNECTIONS_PER_WORKER * options.workers * options.cellsHere() / options.cells;
    if (connections > files) {
      throw new IllegalArgumentException(
          connections + " connections exceed the limit of " + files + " open files");
    }
  }

  private static double machineMemoryMb() {
    com.sun.management.OperatingSystemMXBean machine =
        (com.sun.management.OperatingSystemMXBean)
            java.lang.management.ManagementFactory.getOperatingSystemMXBean();
    return machine.getTotalMemorySize() / BYTES_PER_MB;
  }

  private static long openFilesLimit() {
    com.sun.management.UnixOperatingSystemMXBean process =
        (com.sun.management.UnixOperatingSystemMXBean)
            java.lang.management.ManagementFactory.getOperatingSystemMXBean();
    return process.getMaxFileDescriptorCount();
  }

  /** A loopback network that no other run uses. */
  private static int freeNetwork() throws IOException {
    for (int network = 1; network <= LAST_PROBED_NETWORK; network++) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getByName("127." + network + ".0.101"), STORE_PORT);
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(address);
        return network;
      } catch (BindException e) {
        // Used by another run; try the next one.
      }
    }
    throw new IOException("no loopback network is free");
  }
}
