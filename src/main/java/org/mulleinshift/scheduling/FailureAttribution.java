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
 * Attributes task failures to jobs or machines. A job that fails on several machines and has never
 * succeeded is taken to be the cause itself. A machine is quarantined when jobs that succeed
 * elsewhere fail on it repeatedly. Failures of a failing job do not count against machines:
 * otherwise one broken job could take every machine out of use.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /** A job that has never succeeded is failing once it failed on this many machines. */
  private static final int FAILING_JOB_MIN_MACHINES = 3;

  /**
   * A job that has never succeeded is failing after this many failures, on however few machines.
   */
  private static final int FAILING_JOB_MIN_FAILURES = 10;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final Duration SUSPICION_PERIOD = Duration.ofSeconds(10);

  /** Failures of a job's tasks since the last task that succeeded. */
  private static final class JobFailures {
    private final Set<MachineId> machines = new LinkedHashSet<>();
    private int failures;
    private int failedRetries;
    private boolean failing;
    private MonotonicTime nextAttemptAt;
  }

  /** Failures on a machine since the last task that succeeded there, by job. */
  private static final class MachineFailures {
    private final Map<Job, Integer> byJob = new LinkedHashMap<>();
    private MonotonicTime lastFailureAt;
  }

  private final int quarantineFailures;
  private final Duration retryBackoff;
  private final Map<JobId, JobFailures> jobs = new HashMap<>();
  private final Map<MachineId, MachineFailures> machines = new HashMap<>();

  /**
   * Starts without recorded failures.
   *
   * @param quarantineFailures a machine is quarantined after this many failures of several jobs
   *     that succeed elsewhere, or twice as many of one such job
   * @param retryBackoff the first delay before a failing job is attempted again; it doubles with
   *     each failed attempt, up to a limit
   */
  public FailureAttribution(int quarantineFailures, Duration retryBackoff) {
    this.quarantineFailures = quarantineFailures;
    this.retryBackoff = retryBackoff;
  }

  /** Records that a task of the job failed on the machine. */
  public void onFailure(Job job, MachineId machine, MonotonicTime now) {
    JobFailures jobFailures = jobs.computeIfAbsent(job.spec().id(), key -> new JobFailures());
    jobFailures.failures++;
    if (jobFailures.failing) {
      jobFailures.failedRetries++;
      jobFailures.nextAttemptAt =
          now.plus(
              retryBackoff.multipliedBy(
                  1L << Math.min(jobFailures.failedRetries, MAX_BACKOFF_DOUBLINGS)));
      return;
    }
    MachineFailures machineFailures =
        machines.computeIfAbsent(machine, key -> new MachineFailures());
    machineFailures.byJob.merge(job, 1, Integer::sum);
    machineFailures.lastFailureAt = now;
    if (jobFailures.machines.size() < FAILING_JOB_MIN_MACHINES && !isQuarantined(machine)) {
      jobFailures.machines.add(machine);
    }
    boolean failsEverywhere =
        jobFailures.machines.size() >= FAILING_JOB_MIN_MACHINES
            || jobFailures.failures >= FAILING_JOB_MIN_FAILURES;
    if (failsEverywhere && !hasSucceeded(job)) {
      LOG.info(
          "job fails everywhere, job={} machines={} failures={}",
          job.spec().id(),
          jobFailures.machines.size(),
          jobFailures.failures);
      jobFailures.failing = true;
      jobFailures.nextAttemptAt = now.plus(retryBackoff);
      forgetOnMachines(job.spec().id());
    }
  }

  /**
   * Records that a task of the job completed on the machine, and discards the earlier failures of
   * both: neither was the cause.
   */
  public void onSuccess(Job job, MachineId machine) {
    machines.remove(machine);
    JobFailures jobFailures = jobs.remove(job.spec().id());
    if (jobFailures != null && jobFailures.failing) {
      LOG.info("failing job succeeded, job={}", job.spec().id());
    }
  }

  private void forgetOnMachines(JobId job) {
    machines
        .values()
        .removeIf(
            machineFailures -> {
              machineFailures.byJob.keySet().removeIf(other -> other.spec().id().equals(job));
              return machineFailures.byJob.isEmpty();
            });
  }

  /** Discards the failures of a job that has ended. */
  public void onJobEnded(JobId job) {
    jobs.remove(job);
    forgetOnMachines(job);
  }

  /** Discards the failures on machines that were deleted. */
  public void onMachinesDeleted(List<MachineId> deleted) {
    machines.keySet().removeAll(deleted);
  }

  private static boolean hasSucceeded(Job job) {
    return job.doneCount() > 0;
  }

  /** Whether the job is failing: it fails wherever it runs. */
  boolean isJobFailing(Job job) {
    JobFailures jobFailures = jobs.get(job.spec().id());
    return jobFailures != null && jobFailures.failing;
  }

  /**
   * How many of the job's tasks may be attempted now. For a failing job it is one at a time, with
   * backoff; for a failing gang all of its tasks, since a gang never starts in part and would
   * otherwise not be attempted again.
   */
  public int allowedAttempts(Job job, MonotonicTime now) {
    JobFailures jobFailures = jobs.get(job.spec().id());
    if (jobFailures == null || !jobFailures.failing) {
      return Integer.MAX_VALUE;
    }
    boolean due = job.assignedCount() == 0 && !jobFailures.nextAttemptAt.isAfter(now);
    int tasks = job.spec().kind() == JobKind.GANG ? job.spec().taskCount() : 1;
    return due ? tasks : 0;
  }

  /**
   * Whether the machine is quarantined: jobs that succeed elsewhere failed on it repeatedly, with
   * no success in between. One job alone must fail twice as often as several.
   */
  public boolean isQuarantined(MachineId machine) {
    MachineFailures machineFailures = machines.get(machine);
    if (machineFailures == null) {
      return false;
    }
    int failedJobs = 0;
    int failures = 0;
    for (Map.Entry<Job, Integer> entry : machineFailures.byJob.entrySet()) {
      if (hasSucceeded(entry.getKey())) {
        failedJobs++;
        failures += entry.getValue();
      }
    }
    return failures >= (failedJobs > 1 ? quarantineFailures : 2 * quarantineFailures);
  }

  /**
   * Whether tasks failed on the machine repeatedly and recently. Until the cause is known it takes
   * no new tasks for a while.
   */
  public boolean isSuspect(MachineId machine, MonotonicTime now) {
    MachineFailures machineFailures = machines.get(machine);
    return machineFailures != null
        && now.since(machineFailures.lastFailureAt).compareTo(SUSPICION_PERIOD) < 0
        && machineFailures.byJob.values().stream().mapToInt(Integer::intValue).sum()
            >= quarantineFailures;
  }
}
