package org.mulleinshift.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whose fault failures are. A job that fails on several machines and has never succeeded was
 * submitted with a mistake; a machine is faulty when jobs that succeed elsewhere fail there again
 * and again. What a blamed job did says nothing of machines: else one mistake takes the fleet out
 * of use.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /** A job that failed on so many machines, and never succeeded, is to blame itself. */
  private static final int JOB_MACHINES = 3;

  /** The same where there are too few machines to tell. */
  private static final int JOB_FAILURES = 10;

  private static final int MAX_DOUBLINGS = 4;
  private static final Duration SUSPECT_FOR = Duration.ofSeconds(10);

  private static final class JobFailures {
    private final Set<MachineId> machines = new LinkedHashSet<>();
    private int failures;
    private int attempts;
    private boolean faulty;
    private MonotonicTime notBefore;
  }

  private static final class MachineFailures {
    private final Map<Job, Integer> byJob = new LinkedHashMap<>();
    private MonotonicTime lastAt;
  }

  private final int faultyAfter;
  private final Duration pause;
  private final Map<JobId, JobFailures> jobs = new HashMap<>();
  private final Map<MachineId, MachineFailures> machines = new HashMap<>();

  public FailureAttribution(int faultyAfter, Duration pause) {
    this.faultyAfter = faultyAfter;
    this.pause = pause;
  }

  /** A task of the job failed on the machine. */
  public void onFailure(Job job, MachineId machine, MonotonicTime now) {
    JobFailures known = jobs.computeIfAbsent(job.spec().id(), key -> new JobFailures());
    known.failures++;
    if (known.faulty) {
      known.attempts++;
      known.notBefore = now.plus(pause.multipliedBy(1L << Math.min(known.attempts, MAX_DOUBLINGS)));
      return;
    }
    MachineFailures there = machines.computeIfAbsent(machine, key -> new MachineFailures());
    there.byJob.merge(job, 1, Integer::sum);
    there.lastAt = now;
    if (known.machines.size() < JOB_MACHINES && !isQuarantined(machine)) {
      known.machines.add(machine);
    }
    boolean several = known.machines.size() >= JOB_MACHINES || known.failures >= JOB_FAILURES;
    if (several && !hasSucceeded(job)) {
      LOG.info("job {} fails on several machines: it gets few tries", job.spec().id());
      known.faulty = true;
      known.notBefore = now.plus(pause);
      forgetOnMachines(job.spec().id());
    }
  }

  /** A task of the job was done on the machine: neither is to blame. */
  public void onSuccess(Job job, MachineId machine) {
    machines.remove(machine);
    JobFailures known = jobs.remove(job.spec().id());
    if (known != null && known.faulty) {
      LOG.info("job {} succeeds after all", job.spec().id());
    }
  }

  private void forgetOnMachines(JobId job) {
    machines
        .values()
        .removeIf(
            there -> {
              there.byJob.keySet().removeIf(other -> other.spec().id().equals(job));
              return there.byJob.isEmpty();
            });
  }

  public void onJobEnded(JobId job) {
    jobs.remove(job);
    forgetOnMachines(job);
  }

  public void onMachinesDeleted(List<MachineId> returned) {
    machines.keySet().removeAll(returned);
  }

  private static boolean hasSucceeded(Job job) {
    return job.doneCount() > 0;
  }

  boolean isJobFaulty(Job job) {
    JobFailures known = jobs.get(job.spec().id());
    return known != null && known.faulty;
  }

  /**
   * How many of the job's tasks may be tried now: of a blamed job one at a time, spaced out. A gang
   * is tried whole: one task of it alone fits nowhere, and it would never get another try.
   */
  public int allowedAttempts(Job job, MonotonicTime now) {
    JobFailures known = jobs.get(job.spec().id());
    if (known == null || !known.faulty) {
      return Integer.MAX_VALUE;
    }
    boolean due = job.assignedCount() == 0 && !known.notBefore.isAfter(now);
    int whole = job.spec().kind() == JobKind.GANG ? job.spec().tasks() : 1;
    return due ? whole : 0;
  }

  /**
   * Jobs that succeed elsewhere failed there, with no success between: several jobs, or one twice
   * as often.
   */
  public boolean isQuarantined(MachineId machine) {
    MachineFailures there = machines.get(machine);
    if (there == null) {
      return false;
    }
    int accusers = 0;
    int failures = 0;
    for (Map.Entry<Job, Integer> entry : there.byJob.entrySet()) {
      if (hasSucceeded(entry.getKey())) {
        accusers++;
        failures += entry.getValue();
      }
    }
    return failures >= (accusers > 1 ? faultyAfter : 2 * faultyAfter);
  }

  /** Something fails there and it is open whose fault that is: it takes nothing for a while. */
  public boolean isSuspect(MachineId machine, MonotonicTime now) {
    MachineFailures there = machines.get(machine);
    return there != null
        && now.since(there.lastAt).compareTo(SUSPECT_FOR) < 0
        && there.byJob.values().stream().mapToInt(Integer::intValue).sum() >= faultyAfter;
  }
}
