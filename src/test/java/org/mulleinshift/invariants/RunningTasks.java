package org.mulleinshift.invariants;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mulleinshift.simulation.time.Timeline;

/**
 * The tasks that really run, as the machines see them. Each start and end is checked against the
 * rules of execution: no task runs on two machines at a time, against its job's constraints, before
 * the dependencies are done, above its team's limit or after its job's end.
 */
public final class RunningTasks {
  /** How long before its end a task is reported as nearly done. */
  public static final double NEARLY_DONE_SECONDS = 0.006;

  /**
   * Time after which a stored cancellation is known and its commands are delivered, unless there
   * are faults other than slow links.
   */
  private static final double CANCELLATION_KNOWN_SECONDS = 2;

  private static final double CANCELLATION_TOLERANCE_SECONDS = 0.01;
  private static final double CPU_TOLERANCE = 1e-6;

  private record Placement(String machine, String zone) {}

  private final Timeline timeline;
  private final ObservedJobs jobs;
  private final Violations violations;
  private final TeamQuota quota;
  private final double cancelSeconds;
  private final Map<String, Placement> running = new HashMap<>();
  private Predicate<String> jobEndStored = job -> false;
  private Consumer<ObservedJob> onNearlyDone = job -> {};
  private Consumer<ObservedJob> onStart = job -> {};
  private int starts;
  private int lateStarts;
  private double maxCancellationSeconds;

  /** The limits of the teams, and what the teams use in all cells. */
  record TeamQuota(Map<String, Double> limits, TeamUsage usage) {
    private double limit(String team) {
      return limits.getOrDefault(team, 0.0);
    }

    private boolean admits(String team, double more) {
      double limit = limit(team);
      return limit <= 0 || usage.of(team) + more <= limit + CPU_TOLERANCE;
    }
  }

  /**
   * Starts without running tasks.
   *
   * @param cancelSeconds time from the report of a cancellation in which all tasks must end
   */
  RunningTasks(
      Timeline timeline,
      ObservedJobs jobs,
      Violations violations,
      TeamQuota quota,
      double cancelSeconds) {
    this.timeline = timeline;
    this.jobs = jobs;
    this.violations = violations;
    this.quota = quota;
    this.cancelSeconds = cancelSeconds;
  }

  /** Sets how to find out whether a job's end is stored; after that none of its tasks may start. */
  public void jobEndStoredWhen(Predicate<String> predicate) {
    jobEndStored = predicate;
  }

  /** Calls the listener when the last task of a job is about to end. */
  public void onNearlyDone(Consumer<ObservedJob> listener) {
    onNearlyDone = listener;
  }

  /** Calls the listener at each start of a task. */
  public void onStart(Consumer<ObservedJob> listener) {
    onStart = listener;
  }

  /** Records that a task ends in {@link #NEARLY_DONE_SECONDS}. */
  public void nearlyDone(String task) {
    ObservedJob job = jobs.ofTask(task);
    if (job.completedCount() == job.taskCount() - 1) {
      onNearlyDone.accept(job);
    }
  }

  /** Records that the machine has fetched the task's image and now runs the task. */
  public void started(String task, MachineTraits machine) {
    ObservedJob job = jobs.ofTask(task);
    starts++;
    job.taskStarted(timeline.seconds());
    checkRunsOnce(task, machine);
    if (!placementAllowed(job, machine)) {
      violations.add(Rule.WRONG_PLACE, task + " on " + machine.name() + " in " + machine.zone());
    }
    checkNotEnded(task, job, machine);
    checkDependencies(task, job);
    if (running.put(task, new Placement(machine.name(), machine.zone())) == null) {
      quota.usage().add(job.team(), job.cpus());
    }
    if (!quota.admits(job.team(), 0)) {
      violations.add(Rule.QUOTA, job.team() + " uses " + quota.usage().of(job.team()));
    }
    onStart.accept(job);
  }

  /** Records that a machine carries out a command to start an attempt that it has forgotten. */
  public void startedAgain(String attempt, String machine) {
    violations.add(Rule.STARTED_AGAIN, attempt + " on " + machine);
  }

  private void checkRunsOnce(String task, MachineTraits machine) {
    Placement other = running.get(task);
    if (other != null) {
      violations.add(Rule.RAN_TWICE, task + " on " + other.machine() + " and " + machine.name());
    }
  }

  private boolean placementAllowed(ObservedJob job, MachineTraits machine) {
    return machine.matches(job) && zoneAllowed(job, machine.zone());
  }

  private void checkNotEnded(String task, ObservedJob job, MachineTraits machine) {
    if (jobEndStored.test(job.id())) {
      violations.add(
          Rule.OVER, task + " started on " + machine.name() + " though its job's end is stored");
    }
    lateStarts += isPast(job, CANCELLATION_KNOWN_SECONDS) ? 1 : 0;
    if (isPast(job, cancelSeconds)) {
      violations.add(Rule.RAN_CANCELLED, task + " started on " + machine.name());
    }
  }

  /** Whether the job's cancellation was reported more than {@code seconds} ago. */
  private boolean isPast(ObservedJob job, double seconds) {
    return job.cancelledAt().isPresent()
        && timeline.seconds() > job.cancelledAt().getAsDouble() + seconds;
  }

  private void checkDependencies(String task, ObservedJob job) {
    for (String dependency : job.dependencies()) {
      if (!jobs.find(dependency).allTasksCompleted()) {
        violations.add(Rule.TOO_EARLY, task + " before " + dependency + " was done");
      }
    }
  }

  /** Whether one more task of the job in the zone keeps the job's constraints on zones. */
  boolean zoneAllowed(ObservedJob job, String zone) {
    boolean oneZone = job.flag("one_zone", false);
    boolean spread = job.flag("spread", false);
    if (!oneZone && !spread) {
      return true;
    }
    int inZone = 1;
    for (Map.Entry<String, Placement> entry : running.entrySet()) {
      if (ObservedJob.idOfTask(entry.getKey()).equals(job.id())) {
        boolean same = entry.getValue().zone().equals(zone);
        if (oneZone && !same) {
          return false;
        }
        inZone += same ? 1 : 0;
      }
    }
    return !spread || inZone <= (job.taskCount() + 1) / 2;
  }

  /** Whether one more task of the job keeps its team within the limit. */
  boolean underLimit(ObservedJob job) {
    return quota.admits(job.team(), job.cpus());
  }

  /** Records that a task has completed its work. */
  public void completed(String task) {
    jobs.ofTask(task).taskCompleted(ObservedJob.indexOfTask(task));
  }

  /** Whether the task has completed its work on any machine. */
  public boolean isCompleted(String task) {
    return jobs.ofTask(task).isCompleted(ObservedJob.indexOfTask(task));
  }

  /** Records that a task no longer runs on the machine. */
  public void ended(String task, String machine) {
    Placement placement = running.get(task);
    if (placement != null && placement.machine().equals(machine)) {
      running.remove(task);
      ObservedJob job = jobs.ofTask(task);
      quota.usage().add(job.team(), -job.cpus());
      checkCancelled(task);
    }
  }

  private void checkCancelled(String task) {
    ObservedJob job = jobs.ofTask(task);
    if (job.cancelledAt().isPresent()) {
      double since = timeline.seconds() - job.cancelledAt().getAsDouble();
      maxCancellationSeconds = Math.max(maxCancellationSeconds, since);
    }
    if (isPast(job, cancelSeconds + CANCELLATION_TOLERANCE_SECONDS)) {
      violations.add(Rule.RAN_CANCELLED, task + " was still there");
    }
  }

  void checkAtEnd() {
    running.keySet().forEach(this::checkCancelled);
  }

  /** The machines on which tasks of these jobs run. */
  public Set<String> machinesOf(Collection<ObservedJob> some) {
    Set<String> machines = new HashSet<>();
    running.forEach(
        (task, placement) -> {
          if (some.contains(jobs.ofTask(task))) {
            machines.add(placement.machine());
          }
        });
    return machines;
  }

  /** How many tasks of the job run now. */
  public int count(String job) {
    return (int)
        running.keySet().stream().filter(task -> ObservedJob.idOfTask(task).equals(job)).count();
  }

  /** How many times tasks started, repeated starts included. */
  public int starts() {
    return starts;
  }

  /** How many tasks started more than two seconds after their job was reported cancelled. */
  public int lateStarts() {
    return lateStarts;
  }

  /**
   * The longest time from the report of a cancellation to the end of a task of the job; 0 if none.
   */
  public double maxCancellationSeconds() {
    return maxCancellationSeconds;
  }
}
