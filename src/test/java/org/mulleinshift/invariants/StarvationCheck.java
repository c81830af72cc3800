package org.mulleinshift.invariants;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Once faults are over, finds accepted jobs that starve: for 90 s none of their tasks runs,
 * although a suitable machine has capacity and their team is below its limit all that time.
 */
public final class StarvationCheck {
  /** Finds machines with free capacity. */
  @FunctionalInterface
  public interface FreeCapacity {
    /** Whether a machine in an allowed zone could run a task of the job now. */
    boolean fits(ObservedJob job, Predicate<String> zoneAllowed);
  }

  private static final double MAX_WAIT_SECONDS = 90;
  private static final double INTERVAL_SECONDS = 1;

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final FreeCapacity capacity;
  private final Predicate<String> unreadable;
  private final Map<String, Double> waitingSince = new HashMap<>();
  private final Set<String> reported = new HashSet<>();

  /**
   * Creates a check, which runs once it is started.
   *
   * @param unreadable jobs whose stored records the controllers can't read and must not touch
   */
  public StarvationCheck(
      Timeline timeline,
      InvariantChecker checker,
      FreeCapacity capacity,
      Predicate<String> unreadable) {
    this.timeline = timeline;
    this.checker = checker;
    this.capacity = capacity;
    this.unreadable = unreadable;
  }

  /** Checks all jobs now and every second from now on. */
  public void start() {
    timeline.after(INTERVAL_SECONDS, this::start);
    checker.jobs().all().forEach(this::check);
  }

  private void check(ObservedJob job) {
    if (!couldRun(job)) {
      waitingSince.remove(job.id());
      return;
    }
    double since = waitingSince.computeIfAbsent(job.id(), id -> timeline.seconds());
    if (timeline.seconds() - since > MAX_WAIT_SECONDS && reported.add(job.id())) {
      checker.violations().add(Rule.LEFT_WAITING, job.id() + " since " + since);
    }
  }

  private boolean couldRun(ObservedJob job) {
    return shouldRun(job)
        && checker.jobs().dependenciesDone(job)
        && checker.tasks().underLimit(job)
        && capacity.fits(job, zone -> checker.tasks().zoneAllowed(job, zone));
  }

  private boolean shouldRun(ObservedJob job) {
    boolean open = job.accepted() && !job.cancelRequested() && !job.allTasksCompleted();
    return open
        && checker.tasks().count(job.id()) == 0
        && checker.jobs().dependencyCancelledAt(job).isEmpty()
        && !job.flag("fails", false)
        && !unreadable.test(job.id());
  }
}
