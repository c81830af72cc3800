package org.mulleinshift.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Guards against preemption whose cost grows with the queue: where each waiting job scans all
 * running tasks, a long queue of jobs that cannot start slows down every scheduling cycle.
 */
final class LongQueueTest {
  private static final MonotonicTime NOW = new MonotonicTime(100_000_000_000L);
  private static final ZoneId ZONE = new ZoneId("a");
  private static final int RUNNING_TASKS = 2000;
  private static final int WAITING_TASKS = 10;
  private static final Preemption PREEMPTION = new Preemption(12, 20);

  private static Job job(int number, Priority priority, int tasks) {
    JobId id = new JobId("run-" + number);
    JobSpec spec =
        new JobSpec(
            id,
            "class",
            new TeamId("t"),
            JobKind.ARRAY,
            priority,
            tasks,
            new Resources(2, 0, 4),
            "image",
            1,
            Optional.empty(),
            Optional.empty(),
            false,
            false,
            true,
            20,
            0,
            0,
            OptionalDouble.of(60));
    return new Job(new JobRecord(spec, 0, false, new Revision(number)));
  }

  private static Job running(int number, double ranSeconds) {
    Job job = job(number, Priority.NORMAL, RUNNING_TASKS);
    for (int index = 0; index < RUNNING_TASKS; index++) {
      TaskAssignment assignment = job.assign(index, new ShardId("a-0"), ZONE, new Attempt(1));
      MonotonicTime since = new MonotonicTime(NOW.nanos() - (long) (ranSeconds * 1e9));
      assignment.markRunning(new MachineId("i-" + index), since);
    }
    return job;
  }

  /** Fails if each waiting job scans all running tasks: 100 jobs then locate 200,000 tasks. */
  @ParameterizedTest
  @ValueSource(ints = {100, 1000, 10_000})
  void candidatesAreCollectedOnceHoweverManyJobsPreempt(int waitingJobs) {
    // Given many waiting jobs of high priority, and one job whose tasks may all be preempted.
    List<Job> order = new ArrayList<>();
    for (int i = 0; i < waitingJobs; i++) {
      order.add(job(i, Priority.HIGH, WAITING_TASKS));
    }
    order.add(running(waitingJobs, 5));
    AtomicInteger located = new AtomicInteger();
    AtomicInteger tried = new AtomicInteger();
    Preemption.Locator locator =
        assignment -> {
          located.incrementAndGet();
          return Optional.of(new Preemption.Location(ZONE, new MachineTypeId("small"), false));
        };
    Predicate<Preemption.Location> usable =
        location -> {
          tried.incrementAndGet();
          return true;
        };
    PreemptionCandidates candidates = PREEMPTION.candidates(order, locator, NOW);

    // When each waiting job that is admitted preempts.
    int stopped = 0;
    for (Job job : order.subList(0, waitingJobs)) {
      if (candidates.admit(PreemptionCandidates.Reason.PRIORITY)) {
        stopped += preempt(job, candidates, usable);
      }
    }

    // Then the number of tasks located and groups tried does not depend on the queue's length.
    assertEquals(RUNNING_TASKS, located.get(), "running tasks located");
    assertTrue(tried.get() <= 100, "candidates tried: " + tried);
    assertEquals(
        WAITING_TASKS, stopped, "capacity that the first job frees counts for the jobs after it");
  }

  private static int preempt(
      Job job, PreemptionCandidates candidates, Predicate<Preemption.Location> usable) {
    List<TaskAssignment> victims =
        PREEMPTION.selectVictims(
            job, WAITING_TASKS, candidates, new PreemptionPolicies.LowerPriority(job), usable);
    victims.forEach(TaskAssignment::requestStop);
    return victims.size();
  }

  @ParameterizedTest
  @ValueSource(ints = {13, 60})
  void tasksThatRanForLongAreNotEvenLocated(int ranSeconds) {
    // Given a job whose tasks have run for too long to be preempted.
    Job waiting = job(0, Priority.HIGH, WAITING_TASKS);
    Preemption.Locator failing =
        assignment -> {
          throw new AssertionError("located " + assignment.task());
        };
    PreemptionCandidates candidates =
        PREEMPTION.candidates(List.of(waiting, running(1, ranSeconds)), failing, NOW);

    // When a job of higher priority preempts.
    List<TaskAssignment> victims =
        PREEMPTION.selectVictims(
            waiting,
            WAITING_TASKS,
            candidates,
            new PreemptionPolicies.LowerPriority(waiting),
            location -> true);

    // Then nothing is stopped.
    assertEquals(List.of(), victims, "tasks preempted");
  }
}
