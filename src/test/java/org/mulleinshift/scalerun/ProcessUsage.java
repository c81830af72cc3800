package org.mulleinshift.scalerun;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Resource usage of a process since its start, read from /proc (see proc(5)).
 *
 * @param cpuSeconds processor time of all its threads
 * @param loopSeconds processor time of its main thread, which runs the event loop
 * @param peakMb peak resident memory, MB
 * @param ioBytes bytes read and written, sockets included
 * @param sockets number of open file descriptors, not only sockets
 * @param threadSeconds processor time by thread name without its trailing number
 */
record ProcessUsage(
    double cpuSeconds,
    double loopSeconds,
    double peakMb,
    long ioBytes,
    int sockets,
    Map<String, Double> threadSeconds) {
  static final ProcessUsage NONE = new ProcessUsage(0, 0, 0, 0, 0, Map.of());

  /** Unit of processor times in /proc (USER_HZ). */
  private static final double TICKS_PER_SECOND = 100;

  /** Indexes of user and system time among the fields that follow the name in a stat file. */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;
  private static final double KB_PER_MB = 1024;

  /** Usage of a process; {@link #NONE} if it has exited. */
  static ProcessUsage of(long pid) {
    Path procFolder = Path.of("/proc", Long.toString(pid));
    try (Stream<Path> tasks = Files.list(procFolder.resolve("task"))) {
      Map<String, Double> byThread = new TreeMap<>();
      double loop = 0;
      double all = 0;
      for (Path task : tasks.toList()) {
        String stat = read(task.resolve("stat"));
        int close = stat.lastIndexOf(')');
        if (close < 0) {
          continue;
        }
        double seconds = seconds(stat.substring(close + 2));
        String name = stat.substring(stat.indexOf('(') + 1, close).replaceAll("[-# 0-9]+$", "");
        all += seconds;
        byThread.merge(name, seconds, Double::sum);
        // The launcher runs the main method, and so the event loop, on its second thread.
        loop += name.equals("java") ? seconds : 0;
      }
      String io = read(procFolder.resolve("io"));
      String status = read(procFolder.resolve("status"));
      return new ProcessUsage(
          all,
          loop,
          field(status, "VmHWM:") / KB_PER_MB,
          (long) (field(io, "rchar:") + field(io, "wchar:")),
          count(procFolder.resolve("fd")),
          byThread);
    } catch (IOException e) {
      return NONE;
    }
  }

  private static double seconds(String fields) {
    String[] words = fields.split(" ", 0);
    return (Long.parseLong(words[USER_TIME_FIELD]) + Long.parseLong(words[SYSTEM_TIME_FIELD]))
        / TICKS_PER_SECOND;
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      return "";
    }
  }

  private static double field(String text, String name) {
    for (String line : text.split("\n", 0)) {
      if (line.startsWith(name)) {
        return Double.parseDouble(line.substring(name.length()).strip().split("\\s+", 0)[0]);
      }
    }
    return 0;
  }

  private static int count(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return (int) files.count();
    }
  }

  ProcessUsage plus(ProcessUsage other) {
    return new ProcessUsage(
        cpuSeconds + other.cpuSeconds,
        loopSeconds + other.loopSeconds,
        Math.max(peakMb, other.peakMb),
        ioBytes + other.ioBytes,
        Math.max(sockets, other.sockets),
        merged(threadSeconds, other.threadSeconds, 1));
  }

  /** Usage since an earlier reading; peak memory and descriptors are the current ones. */
  ProcessUsage since(ProcessUsage earlier) {
    return new ProcessUsage(
        cpuSeconds - earlier.cpuSeconds,
        loopSeconds - earlier.loopSeconds,
        peakMb,
        ioBytes - earlier.ioBytes,
        sockets,
        merged(threadSeconds, earlier.threadSeconds, -1));
  }

  private static Map<String, Double> merged(
      Map<String, Double> one, Map<String, Double> other, int sign) {
    Map<String, Double> sum = new TreeMap<>(one);
    other.forEach((name, seconds) -> sum.merge(name, sign * seconds, Double::sum));
    return sum;
  }

  /** Thread names with the most processor time, in seconds, in descending order. */
  List<String> busiest(int count) {
    return threadSeconds.entrySet().stream()
        .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
        .limit(count)
        .map(entry -> String.format("%s %.1f", entry.getKey(), entry.getValue()))
        .toList();
  }
}
