package org.mulleinshift.api;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;

/**
 * What this node knows of jobs without asking the store: the view of the active ones, which may lag
 * behind the store, and a bounded cache of terminal phases, which can't change any more.
 */
final class KnownJobs {
  private static final int MAX_CACHED_TERMINAL_PHASES = 20_000;
  private static final int MAX_JOBS_WITH_LISTS = 64;
  private static final JobTaskCounts NO_TASKS = new JobTaskCounts("", 0, 0);

  private final Map<JobId, JobPhase> terminalPhases = new BoundedMap<>(MAX_CACHED_TERMINAL_PHASES);
  private final Map<JobId, JobStatus> active = new HashMap<>();
  private Revision viewRevision = new Revision(0);

  /** Dependencies that are stored in lists, of active jobs; others may have to be read again. */
  private final Map<JobId, List<JobId>> listedDependencies = new BoundedMap<>(MAX_JOBS_WITH_LISTS);

  private Map<String, JobTaskCounts> taskCounts = Map.of();
  private boolean summaryReceived;

  /** All changes up to the revision were shown. */
  void onCaughtUp(Revision revision) {
    viewRevision = revision;
  }

  /** The revision up to which the view of active jobs is known to be complete. */
  Revision viewRevision() {
    return viewRevision;
  }

  /** The view shows an active job; without a record, one that this build can't read. */
  void onActive(JobId id, Optional<JobRecord> record) {
    active.put(id, record.<JobStatus>map(JobStatus.Active::new).orElse(new JobStatus.Unknown()));
  }

  /** The view no longer shows the job as active. A cancelled record is removed only by its end. */
  void onNoLongerActive(JobId id) {
    listedDependencies.remove(id);
    if (active.remove(id) instanceof JobStatus.Active job && job.job().cancelled()) {
      cacheTerminalPhase(id, JobPhase.CANCELLED);
    }
  }

  /** The lists of the job's dependencies were read. */
  void onDependenciesRead(JobId id, List<JobId> dependencies) {
    if (active.containsKey(id)) {
      listedDependencies.put(id, List.copyOf(dependencies));
    }
  }

  /** The jobs that the job depends on; empty if they stand in lists that are to be read first. */
  Optional<List<JobId>> dependenciesOf(JobRecord job) {
    return job.dependencies().listCount() == 0
        ? Optional.of(job.dependencies().inlineJobs())
        : Optional.ofNullable(listedDependencies.get(job.id()));
  }

  /** A summary names the jobs with running or completed tasks; all others have none. */
  void onSummary(JobSummary summary) {
    Map<String, JobTaskCounts> next = new LinkedHashMap<>();
    summary.getCounts().forEach(count -> next.put(count.getJob(), count));
    taskCounts = next;
    summaryReceived = true;
  }

  /** The job's task counts by the latest summary; empty before the first one. */
  Optional<JobTaskCounts> taskCounts(JobId id) {
    return summaryReceived
        ? Optional.of(taskCounts.getOrDefault(id.value(), NO_TASKS))
        : Optional.empty();
  }

  /** Whether a leader has seen a task of the job run or complete. */
  boolean hasHadTasks(JobId id) {
    return taskCounts.containsKey(id.value());
  }

  /** Stores a phase that can't change any more. */
  void cacheTerminalPhase(JobId id, JobPhase phase) {
    terminalPhases.put(id, phase);
  }

  /** Whether the job is known to have been accepted. */
  boolean isAccepted(JobId id) {
    return active.containsKey(id) || terminalPhases.containsKey(id);
  }

  /** The job's status in the view of active jobs, if it is shown there. */
  Optional<JobStatus> findActive(JobId id) {
    return Optional.ofNullable(active.get(id));
  }

  /** The job's final phase, if it was cached; its end may not be stored yet. */
  Optional<JobPhase> cachedTerminalPhase(JobId id) {
    return Optional.ofNullable(terminalPhases.get(id));
  }

  /** The job's final phase, if this node knows it. */
  Optional<JobPhase> terminalPhase(JobId id) {
    boolean cancelled = active.get(id) instanceof JobStatus.Active job && job.job().cancelled();
    return Optional.ofNullable(cancelled ? JobPhase.CANCELLED : terminalPhases.get(id));
  }

  /**
   * The newer of what was read and what this node knows at the moment of answering: never accepted,
   * then accepted, then cancelled or done. All answers about a job pass here. What could not be
   * read stays unknown, unless the job has ended: this node's view of an active job may be old.
   */
  JobStatus newerOf(JobId id, JobStatus read) {
    Optional<JobPhase> terminal = terminalPhase(id);
    if (terminal.isPresent()) {
      return new JobStatus.Ended(terminal.get());
    }
    boolean acceptedSince = read instanceof JobStatus.NeverAccepted && active.containsKey(id);
    return acceptedSince ? active.get(id) : read;
  }
}
