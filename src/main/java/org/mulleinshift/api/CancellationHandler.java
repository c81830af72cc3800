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
        id, status -> onStatus(id, knownJobs.newerOf(id, status), remainingAttempts, responder));
  }

  /**
   * Continues with the newest status known. It may come from the view of active jobs, which the
   * read does not show yet: a job counts as cancelled only if its record or its end says so.
   */
  private void onStatus(JobId id, JobStatus newest, int remainingAttempts, Responder responder) {
    if (newest instanceof JobStatus.Active active && !active.job().cancelled()) {
      storeCancellation(active.job(), remainingAttempts, responder);
    } else if (isCancelled(newest) && needsAnnouncement(id)) {
      announce(id, responder);
    } else {
      responses.respondWithStatusOrNotFound(id, newest, responder);
    }
  }

  private static boolean isCancelled(JobStatus status) {
    return (status instanceof JobStatus.Active active && active.job().cancelled())
        || (status instanceof JobStatus.Ended ended && ended.phase() == JobPhase.CANCELLED);
  }

  /**
   * Whether a cancelled job is not known to be stored as ended, and the announcement of its
   * cancellation has not been confirmed.
   */
  private boolean needsAnnouncement(JobId id) {
    return !knownJobs.isEndStored(id) && !announcedJobs.contains(id);
  }

  private void storeCancellation(JobRecord job, int remainingAttempts, Responder responder) {
    JobId id = job.id();
    store.commit(
        List.of(new Compare(StoreKeys.activeJob(id), job.revision())),
        List.of(Write.put(StoreKeys.activeJob(id), job.cancelledValue())),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            knownJobs.cacheCancellation(id);
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
