package org.mulleinshift.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
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

/** What a cycle looks at while many jobs wait in vain does not grow with them. */
final class LongQueueTest {
  private static final MonotonicTime NOW = new MonotonicTime(100_000_000_000L);
  private static final ZoneId ZONE = new ZoneId("a");
  private static final int RUNNING = 2000;

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

  private static Job running(int number, double sinceSeconds) {
    Job job = job(number, Priority.NORMAL, RUNNING);
    for (int index = 0; index < RUNNING; index++) {
      TaskAssignment assignment = job.assign(index, new ShardId("a-0"), ZONE, new Attempt(1));
      MonotonicTime since = new MonotonicTime(NOW.nanos() - (long) (sinceSeconds * 1e9));
      assignment.markRunning(new MachineId("i-" + index), since);
    }
    return job;
  }

  /** Fails where each waiting job looks at all that runs: 100 jobs then look 200,000 times. */
  @ParameterizedTest
  @ValueSource(ints = {100, 1000, 10_000})
  void whatMayGiveWayIsLookedForOnce(int waiting) {
    List<Job> order = new ArrayList<>();
    for (int i = 0; i < waiting; i++) {
      order.add(job(i, Priority.HIGH, 10));
    }
    order.add(running(waiting, 5));
    int[] looks = new int[2];
    Preemption preemption = new Preemption(12, 20);
    Preemption.Pass round =
        preemption
        .new Pass(
            order,
            assignment -> {
              looks[0]++;
              return Optional.of(new Preemption.Location(ZONE, new MachineTypeId("small"), false));
            },
            NOW);
    int stopped = 0;
    for (Job job : order.subList(0, waiting)) {
      if (round.admit("priority")) {
        PreemptionPolicies.LowerPriority rule = new PreemptionPolicies.LowerPriority(job);
        List<TaskAssignment> victims =
            preemption.victims(
                job,
                10,
                round,
                rule,
                where -> {
                  looks[1]++;
                  return true;
                });
        victims.forEach(TaskAssignment::requestStop);
        stopped += victims.size();
      }
    }
    assertEquals(RUNNING, looks[0], "running tasks looked at");
    assertTrue(looks[1] <= 100, "candidates tried: " + looks[1]);
    // The first job stops what it needs; for those after it that room is already on its way.
    assertEquals(10, stopped);
  }

  /** What ran for long is left alone, and not even placed. */
  @ParameterizedTest
  @ValueSource(ints = {13, 60})
  void workThatRanForLongIsNotLookedAt(int seconds) {
    Job waiting = job(0, Priority.HIGH, 10);
    Preemption preemption = new Preemption(12, 20);
    Preemption.Pass round =
        preemption
        .new Pass(
            List.of(waiting, running(1, seconds)),
            assignment -> {
              throw new AssertionError("looked at " + assignment.task());
            },
            NOW);
    assertEquals(
        List.of(),
        preemption.victims(
            waiting, 10, round, new PreemptionPolicies.LowerPriority(waiting), c -> true));
  }
}
