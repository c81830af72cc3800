package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.invariants.RunningTasks;
import org.mulleinshift.simulation.time.Timeline;

/** The tasks of one worker. Each fetches its image, runs for a given time and exits. */
final class WorkerTasks {
  /** The worker that the tasks belong to. */
  interface Host {
    /** Runs the step now or, if the machine hangs, afterwards; never if the machine is deleted. */
    void runWhenResponsive(Runnable step);

    /** Called when a task was added or its phase has changed. */
    void taskChanged();

    /** The worker's epoch. A new epoch begins without tasks. */
    long epoch();
  }

  private static final double CPU_TOLERANCE = 1e-6;
  private static final double CACHED_FETCH_SECONDS = 0.01;
  private static final double FAILURE_SECONDS = 0.5;

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final SimulatedMachine machine;
  private final Host host;
  private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();

  /** Attempts that the worker was told to forget in this epoch. */
  private final Set<String> forgotten = new HashSet<>();

  private double slowFactor = 1;
  private boolean failing;

  WorkerTasks(Timeline timeline, InvariantChecker checker, SimulatedMachine machine, Host host) {
    this.timeline = timeline;
    this.checker = checker;
    this.machine = machine;
    this.host = host;
  }

  /** Makes tasks that start from now on fail instead of completing. */
  void failAll() {
    failing = true;
  }

  boolean failing() {
    return failing;
  }

  /** Makes tasks that start from now on run {@code factor} times as long. */
  void slow(double factor) {
    slowFactor = factor;
  }

  /** Ends and removes all tasks at once, without reporting them to a controller. */
  void clear() {
    tasks.values().forEach(task -> checker.tasks().ended(task.name(), machine.name()));
    tasks.clear();
    forgotten.clear();
  }

  void clearImages() {
    images.clear();
  }

  void describe(ArrayNode list) {
    tasks.values().forEach(task -> task.describe(list.addObject()));
  }

  boolean hasCapacity(double cpus) {
    return usedCpus() + cpus <= machine.spec().cpus() + CPU_TOLERANCE;
  }

  private double usedCpus() {
    double used = 0;
    for (WorkerTask task : tasks.values()) {
      if (!task.exited()) {
        used += jobOf(task.name()).cpus();
      }
    }
    return used;
  }

  private ObservedJob jobOf(String task) {
    return checker.jobs().find(ObservedJob.idOfTask(task));
  }

  void run(String name, long attempt) {
    if (tasks.containsKey(WorkerTask.key(name, attempt))) {
      return;
    }
    WorkerTask task = new WorkerTask(name, attempt);
    if (forgotten.contains(task.key())) {
      checker.tasks().startedAgain(task.key(), machine.name());
    }
    ObservedJob job = jobOf(name);
    boolean busy =
        tasks.values().stream().anyMatch(other -> other.name().equals(name) && !other.exited());
    tasks.put(task.key(), task);
    if (job == null || !job.submitted()) {
      exit(task, "no_such");
    } else if (busy) {
      exit(task, "in_use");
    } else if (!hasCapacity(0)) {
      exit(task, "full");
    } else {
      fetch(task, job);
    }
  }

  private void fetch(WorkerTask task, ObservedJob job) {
    host.taskChanged();
    String image = job.text("image", "img-1");
    double seconds = images.contains(image) ? CACHED_FETCH_SECONDS : job.number("fetch", 1);
    long epoch = host.epoch();
    timeline.after(seconds, () -> host.runWhenResponsive(() -> start(task, job, image, epoch)));
  }

  private boolean isCurrent(WorkerTask task, long epoch) {
    return host.epoch() == epoch && tasks.get(task.key()) == task;
  }

  private void start(WorkerTask task, ObservedJob job, String image, long epoch) {
    if (!isCurrent(task, epoch) || !task.fetching()) {
      return;
    }
    images.add(image);
    task.start();
    checker.tasks().started(task.name(), machine.traits());
    host.taskChanged();
    if (checker.tasks().isCompleted(task.name())) {
      exit(task, "done");
    } else if (!job.text("kind", "batch").equals("standing")) {
      scheduleEnd(task, job, epoch);
    }
  }

  private void scheduleEnd(WorkerTask task, ObservedJob job, long epoch) {
    boolean fails = failing || job.flag("fails", false);
    double seconds = fails ? FAILURE_SECONDS : job.number("run", 10) * slowFactor;
    timeline.after(
        seconds - RunningTasks.NEARLY_DONE_SECONDS,
        () -> {
          if (isCurrent(task, epoch) && task.running()) {
            checker.tasks().nearlyDone(task.name());
          }
        });
    timeline.after(seconds, () -> host.runWhenResponsive(() -> finish(task, fails, epoch)));
  }

  private void finish(WorkerTask task, boolean fails, long epoch) {
    if (!isCurrent(task, epoch) || !task.running()) {
      return;
    }
    if (!fails) {
      checker.tasks().completed(task.name());
    }
    exit(task, fails ? "error" : "done");
  }

  void stop(String name, long attempt) {
    WorkerTask task = tasks.get(WorkerTask.key(name, attempt));
    if (task != null) {
      exit(task, "halted");
    }
  }

  void forget(String name, long attempt) {
    WorkerTask task = tasks.get(WorkerTask.key(name, attempt));
    if (task != null && task.exited()) {
      tasks.remove(task.key());
      forgotten.add(task.key());
    }
  }

  private void exit(WorkerTask task, String cause) {
    if (task.exited()) {
      return;
    }
    task.exit(cause);
    if (task.started()) {
      checker.tasks().ended(task.name(), machine.name());
    }
    host.taskChanged();
  }
}
