package org.mulleinshift.api;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.dependencies.CascadingCancellations;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Revision;

/**
 * What this node knows of jobs without asking the store: the view of the active ones, which may lag
 * behind the store, and a bounded cache of terminal phases, which can't change any more.
 */
final class KnownJobs {
  private static final int MAX_CACHED_TERMINAL_PHASES = 20_000;

  private final Map<JobId, JobPhase> terminalPhases = new BoundedMap<>(MAX_CACHED_TERMINAL_PHASES);
  private final Map<JobId, JobStatus> active = new HashMap<>();
  private Revision viewRevision = new Revision(0);
  private final CascadingCancellations cascadingCancellations = new CascadingCancellations();

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
    record.ifPresent(cascadingCancellations::onActive);
  }

  /** The view no longer shows the job as active. */
  void onNoLongerActive(JobId id) {
    active.remove(id);
    cascadingCancellations.onNoLongerActive(id);
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

  /** The job's final phase, if this node knows it. */
  Optional<JobPhase> terminalPhase(JobId id) {
    boolean cancelled = active.get(id) instanceof JobStatus.Active job && job.job().cancelled();
    return Optional.ofNullable(cancelled ? JobPhase.CANCELLED : terminalPhases.get(id));
  }

  /** Whether the job is to be cancelled because one that it depends on is. */
  boolean isCancelledWithDependency(JobId id) {
    return cascadingCancellations.contains(id);
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
