package org.mulleinshift.api;

import java.util.List;
import java.util.Set;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.CommitResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Handles cancellation requests. Before a cancellation is acknowledged, it is stored and known to
 * every controller that could start a task of the job: no task may start after the response.
 */
final class CancellationHandler {
  private static final int MAX_COMMIT_ATTEMPTS = 4;
  private static final int MAX_REMEMBERED_JOBS = 4096;

  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final JobStatusReader statusReader;
  private final JobResponseWriter responses;
  private final CancellationNotifier notifier;

  /** Jobs whose cancellation this node has stored. */
  private final Set<JobId> cancelledByThisNode = BoundedMap.set(MAX_REMEMBERED_JOBS);

  /** Cancelled jobs of which no controller can start a task any more. */
  private final Set<JobId> announcedJobs = BoundedMap.set(MAX_REMEMBERED_JOBS);

  CancellationHandler(
      KeyValueStore store,
      KnownJobs knownJobs,
      JobStatusReader statusReader,
      JobResponseWriter responses,
      CancellationNotifier notifier) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.statusReader = statusReader;
    this.responses = responses;
    this.notifier = notifier;
  }

  /** Cancels the job unless it has ended, and responds with its phase; 404 if never accepted. */
  void cancel(JobId id, Responder responder) {
    cancel(id, MAX_COMMIT_ATTEMPTS, responder);
  }

  private void cancel(JobId id, int remainingAttempts, Responder responder) {
    if (remainingAttempts == 0) {
      responses.respondUnavailable(responder);
      return;
    }
    statusReader.readStored(
        id,
        status -> {
          if (status instanceof JobStatus.Active active && !active.job().cancelled()) {
            storeCancellation(active.job(), remainingAttempts, responder);
          } else if (needsAnnouncement(id, status)) {
            announce(id, responder);
          } else {
            responses.respondWithStatusOrNotFound(id, status, responder);
          }
        });
  }

  /**
   * Whether the job is cancelled but not known to be stored as ended, and the announcement of its
   * cancellation has not been confirmed.
   */
  private boolean needsAnnouncement(JobId id, JobStatus status) {
    JobStatus newest = knownJobs.newerOf(id, status);
    boolean cancelled =
        newest instanceof JobStatus.Active
            || (newest instanceof JobStatus.Ended ended && ended.phase() == JobPhase.CANCELLED);
    boolean active =
        status instanceof JobStatus.Active
            || knownJobs.findActive(id).isPresent()
            || cancelledByThisNode.contains(id);
    return cancelled && active && !announcedJobs.contains(id);
  }

  private void storeCancellation(JobRecord job, int remainingAttempts, Responder responder) {
    JobId id = job.id();
    store.commit(
        List.of(new Compare(StoreKeys.activeJob(id), job.revision())),
        List.of(Write.put(StoreKeys.activeJob(id), job.cancelledValue())),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            knownJobs.cacheTerminalPhase(id, JobPhase.CANCELLED);
            cancelledByThisNode.add(id);
            announce(id, responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            cancel(id, remainingAttempts - 1, responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }

  private void announce(JobId id, Responder responder) {
    notifier.announce(
        id,
        acknowledged -> {
          if (acknowledged) {
            announcedJobs.add(id);
            responses.respondWithPhase(id, HttpStatus.OK, JobPhase.CANCELLED, responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }
}
