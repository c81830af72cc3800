package org.mulleinshift.api;

import java.util.List;
import java.util.function.Consumer;
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

/** Cancels jobs. A cancellation is stored before it is acknowledged. */
final class CancellationHandler {
  private static final int MAX_COMMIT_ATTEMPTS = 4;

  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final JobStatusReader statusReader;
  private final JobResponseWriter responses;
  private final Consumer<JobId> onCancelled;

  CancellationHandler(
      KeyValueStore store,
      KnownJobs knownJobs,
      JobStatusReader statusReader,
      JobResponseWriter responses,
      Consumer<JobId> onCancelled) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.statusReader = statusReader;
    this.responses = responses;
    this.onCancelled = onCancelled;
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
          } else {
            responses.respondWithStatusOrNotFound(id, status, responder);
          }
        });
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
            onCancelled.accept(id);
            responses.respondWithPhase(id, HttpStatus.OK, JobPhase.CANCELLED, responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            cancel(id, attempts - 1, responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }
}
