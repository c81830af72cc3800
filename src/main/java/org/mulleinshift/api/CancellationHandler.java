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
 * Cancels jobs. A cancellation is stored, and every controller that could start a task of the job
 * knows of it, before it is acknowledged: from the response on no task may be started.
 */
final class CancellationHandler {
  private static final int MAX_COMMIT_ATTEMPTS = 4;
  private static final int MAX_REMEMBERED = 4096;

  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final JobStatusReader statusReader;
  private final JobResponseWriter responses;
  private final CancellationNotice notice;

  /** Cancellations that this node has stored. */
  private final Set<JobId> storedHere = BoundedMap.set(MAX_REMEMBERED);

  /** Cancelled jobs of which every controller knows. */
  private final Set<JobId> announced = BoundedMap.set(MAX_REMEMBERED);

  CancellationHandler(
      KeyValueStore store,
      KnownJobs knownJobs,
      JobStatusReader statusReader,
      JobResponseWriter responses,
      CancellationNotice notice) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.statusReader = statusReader;
    this.responses = responses;
    this.notice = notice;
  }

  /** Handles a request to cancel a job. */
  void cancel(JobId id, Responder responder) {
    cancel(id, MAX_COMMIT_ATTEMPTS, responder);
  }

  private void cancel(JobId id, int attempts, Responder responder) {
    if (attempts == 0) {
      responses.respondUnavailable(responder);
      return;
    }
    statusReader.readStored(
        id,
        status -> {
          if (status instanceof JobStatus.Active active && !active.job().cancelled()) {
            store(active.job(), attempts, responder);
          } else if (mayStillStart(id, status)) {
            announce(id, responder);
          } else {
            responses.respondWithStatusOrNotFound(id, status, responder);
          }
        });
  }

  /** Whether the job is cancelled, has not ended, and some controller may not know it yet. */
  private boolean mayStillStart(JobId id, JobStatus status) {
    JobStatus newest = knownJobs.newerOf(id, status);
    boolean cancelled =
        newest instanceof JobStatus.Active
            || (newest instanceof JobStatus.Ended ended && ended.phase() == JobPhase.CANCELLED);
    boolean active =
        status instanceof JobStatus.Active
            || knownJobs.findActive(id).isPresent()
            || storedHere.contains(id);
    return cancelled && active && !announced.contains(id);
  }

  private void store(JobRecord job, int attempts, Responder responder) {
    JobId id = job.id();
    store.commit(
        List.of(new Compare(StoreKeys.activeJob(id), job.revision())),
        List.of(Write.put(StoreKeys.activeJob(id), job.cancelledValue())),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            knownJobs.cacheTerminalPhase(id, JobPhase.CANCELLED);
            storedHere.add(id);
            announce(id, responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            cancel(id, attempts - 1, responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }

  private void announce(JobId id, Responder responder) {
    notice.announce(
        id,
        known -> {
          if (known) {
            announced.add(id);
            responses.respondWithPhase(id, HttpStatus.OK, JobPhase.CANCELLED, responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }
}
