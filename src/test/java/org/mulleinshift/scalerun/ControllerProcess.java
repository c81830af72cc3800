package org.mulleinshift.scalerun;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A controller in a process of its own, started with the command of the deploy file. */
final class ControllerProcess {
  private static final Path DEPLOY = Path.of("deploy/service.toml");
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final String DEPLOYED_JAR = "target/mulleinshift.jar";

  private final String label;
  private final InetSocketAddress address;
  private final List<String> command;
  private final Path log;
  private final List<ProcessUsage> killedUsage = new ArrayList<>();
  private volatile Process process;
  private volatile boolean ready;
  private volatile boolean killed;
  private int unexpectedExits;

  ControllerProcess(
      String label, InetSocketAddress address, ScaleOptions options, Path settings, Path folder) {
    this.label = label;
    this.address = address;
    this.command = command(options, settings);
    this.log = folder.resolve(label + ".log");
  }

  private static List<String> command(ScaleOptions options, Path settings) {
    List<String> command = new ArrayList<>();
    for (String word : deployedCommand().split(" ", 0)) {
      if (word.equals("-jar")) {
        command.addAll(options.jvm);
      }
      command.add(word.equals(DEPLOYED_JAR) ? options.jar.toString() : word);
    }
    command.add(settings.toString());
    if (options.tunables != null) {
      command.add("--tunables");
      command.add(options.tunables.toString());
    }
    return command;
  }

  private static String deployedCommand() {
    try {
      Matcher run = RUN_COMMAND.matcher(Files.readString(DEPLOY));
      if (run.find()) {
        return run.group(1);
      }
      throw new IllegalStateException(DEPLOY + " has no run command");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String label() {
    return label;
  }

  InetSocketAddress address() {
    return address;
  }

  Path log() {
    return log;
  }

  void start() {
    try {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("LOG_LEVEL", "info");
      builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
      builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      killed = false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Kills the process with SIGKILL, so that it cannot shut down in order. */
  void kill() {
    ready = false;
    killed = true;
    killedUsage.add(ProcessUsage.of(process.pid()));
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Restarts the process if it exited without being killed, and counts that as unexpected. */
  void restartIfExited() {
    if (process != null && !killed && !process.isAlive()) {
      ready = false;
      unexpectedExits++;
      start();
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  int unexpectedExits() {
    return unexpectedExits;
  }

  boolean ready() {
    return ready;
  }

  void setReady(boolean next) {
    ready = next && alive();
  }

  /** Resource usage of the running process and of those killed before it. */
  ProcessUsage usage() {
    ProcessUsage sum = alive() ? ProcessUsage.of(process.pid()) : ProcessUsage.NONE;
    for (ProcessUsage earlier : killedUsage) {
      sum = sum.plus(earlier);
    }
    return sum;
  }
}
