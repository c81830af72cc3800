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
 * What this node knows about jobs without reading the store: a view of the active jobs, which may
 * lag behind the store, and a bounded cache of terminal phases, which are final.
 */
final class KnownJobs {
  private static final int MAX_CACHED_TERMINAL_PHASES = 20_000;
  private static final int MAX_JOBS_WITH_LISTS = 64;
  private static final JobTaskCounts NO_TASKS = new JobTaskCounts("", 0, 0);

  /**
   * A final phase.
   *
   * @param endStored whether the job is stored as ended; if not, its cancellation is stored, or
   *     that of a job that it depends on, and it may still have tasks
   */
  private record TerminalPhase(JobPhase phase, boolean endStored) {}

  private static final TerminalPhase CANCELLED = new TerminalPhase(JobPhase.CANCELLED, false);

  private final Map<JobId, TerminalPhase> terminalPhases =
      new BoundedMap<>(MAX_CACHED_TERMINAL_PHASES);
  private final Map<JobId, JobStatus> active = new HashMap<>();
  private Revision viewRevision = new Revision(0);

  /**
   * Cached dependencies of active jobs that store them in lists; evicted entries are read again.
   */
  private final Map<JobId, List<JobId>> listedDependencies = new BoundedMap<>(MAX_JOBS_WITH_LISTS);

  private Map<String, JobTaskCounts> taskCounts = Map.of();
  private boolean summaryReceived;

  /** Called when the view has received all changes up to the revision. */
  void onCaughtUp(Revision revision) {
    viewRevision = revision;
  }

  /** The revision up to which the view of active jobs is known to be complete. */
  Revision viewRevision() {
    return viewRevision;
  }

  /** Adds or updates an active job; the record is empty if this build can't read it. */
  void onActive(JobId id, Optional<JobRecord> record) {
    active.put(id, record.<JobStatus>map(JobStatus.Active::new).orElse(new JobStatus.Unknown()));
  }

  /**
   * Removes a job that is no longer active. Its record is removed only when the job ends, so if it
   * was cancelled it is now stored as ended with that phase.
   */
  void onNoLongerActive(JobId id) {
    listedDependencies.remove(id);
    boolean cancelled = terminalPhase(id).filter(JobPhase.CANCELLED::equals).isPresent();
    active.remove(id);
    if (cancelled) {
      cacheEnd(id, JobPhase.CANCELLED);
    }
  }

  /** Caches the dependencies read from the job's lists. */
  void onDependenciesRead(JobId id, List<JobId> dependencies) {
    if (active.containsKey(id)) {
      listedDependencies.put(id, List.copyOf(dependencies));
    }
  }

  /**
   * The jobs that the job depends on; empty if they are stored in lists that have to be read first.
   */
  Optional<List<JobId>> dependenciesOf(JobRecord job) {
    return job.dependencies().listCount() == 0
        ? Optional.of(job.dependencies().inlineJobs())
        : Optional.ofNullable(listedDependencies.get(job.id()));
  }

  /**
   * Replaces the task counts. Jobs that the summary leaves out have no running or completed tasks.
   */
  void onSummary(JobSummary summary) {
    Map<String, JobTaskCounts> next = new LinkedHashMap<>();
    summary.getCounts().forEach(count -> next.put(count.getJob(), count));
    taskCounts = next;
    summaryReceived = true;
  }

  /** The job's task counts in the latest summary; empty before the first summary. */
  Optional<JobTaskCounts> taskCounts(JobId id) {
    return summaryReceived
        ? Optional.of(taskCounts.getOrDefault(id.value(), NO_TASKS))
        : Optional.empty();
  }

  /** Whether the latest summary reports a running or completed task of the job. */
  boolean hasHadTasks(JobId id) {
    return taskCounts.containsKey(id.value());
  }

  /** Caches the final phase of a job that is stored as ended. */
  void cacheEnd(JobId id, JobPhase phase) {
    terminalPhases.put(id, new TerminalPhase(phase, true));
  }

  /** Caches that a job is cancelled, whether or not it is stored as ended yet. */
  void cacheCancellation(JobId id) {
    terminalPhases.putIfAbsent(id, CANCELLED);
  }

  /**
   * Whether the job is known to be stored as ended. That the view does not show a job is no sign of
   * it, since the view may be older than the job.
   */
  boolean isEndStored(JobId id) {
    TerminalPhase terminal = terminalPhases.get(id);
    return terminal != null && terminal.endStored();
  }

  /** Whether the job is known to have been accepted. */
  boolean isAccepted(JobId id) {
    return active.containsKey(id) || terminalPhases.containsKey(id);
  }

  /** The job's status in the view of active jobs; empty if the view doesn't contain it. */
  Optional<JobStatus> findActive(JobId id) {
    return Optional.ofNullable(active.get(id));
  }

  /** The job's cached final phase, if any; the end may not be stored yet. */
  Optional<JobPhase> cachedTerminalPhase(JobId id) {
    return Optional.ofNullable(terminalPhases.get(id)).map(TerminalPhase::phase);
  }

  /** The job's final phase by the cache or a cancelled active record; empty if not known. */
  Optional<JobPhase> terminalPhase(JobId id) {
    boolean cancelled = active.get(id) instanceof JobStatus.Active job && job.job().cancelled();
    return cancelled ? Optional.of(JobPhase.CANCELLED) : cachedTerminalPhase(id);
  }

  /**
   * Returns the newer of the status read and the status known now; a job's status moves from never
   * accepted to active to ended. Responses about jobs that can still change are based on the
   * result. A status that could not be read stays unknown unless the job has ended, because the
   * view of an active job may be out of date.
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
