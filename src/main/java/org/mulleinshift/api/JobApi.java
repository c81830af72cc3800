package org.mulleinshift.api;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * The users' requests about jobs, at any node. An acceptance or a cancellation is stored before it
 * is acknowledged. An answer that can still change is at least as fresh as the question; in doubt
 * the answer is 503.
 */
public final class JobApi {
  /**
   * What the interface works with.
   *
   * @param loop owns all state
   * @param store holds the jobs
   * @param catalog machine types, by which submissions are checked
   * @param cluster teams and limits of the store
   * @param retryAfterSeconds after which time a user should retry a request answered with 503
   * @param viewFreshnessCheck confirms the view of active jobs that {@link #onActive} builds
   * @param memoryPressure how scarce the heap is: under pressure fewer requests are served
   * @param cancellationNotifier makes cancellations known before they are acknowledged
   * @param allControllersVerifyDependencies whether every controller proves by the store that no
   *     dependency of a job was cancelled before it calls the job waiting
   */
  public record Context(
      EventLoop loop,
      KeyValueStore store,
      MachineTypeCatalog catalog,
      PlatformSettings.Cluster cluster,
      int retryAfterSeconds,
      ViewFreshnessCheck viewFreshnessCheck,
      Supplier<MemoryPressure> memoryPressure,
      CancellationNotifier cancellationNotifier,
      BooleanSupplier allControllersVerifyDependencies) {}

  private final KnownJobs knownJobs = new KnownJobs();
  private final JobStatusReader statusReader;
  private final JobResponseWriter responses;
  private final SubmissionHandler submissions;
  private final CancellationHandler cancellations;

  /** An interface that knows no job yet. */
  public JobApi(Context context) {
    KeyValueStore store = context.store();
    DependencyCheck dependencyCheck = new DependencyCheck(knownJobs);
    this.statusReader =
        new JobStatusReader(
            store,
            knownJobs,
            new DependencyReader(context.loop(), store, knownJobs, dependencyCheck),
            context.viewFreshnessCheck(),
            context.memoryPressure());
    this.responses =
        new JobResponseWriter(
            knownJobs,
            dependencyCheck,
            context.allControllersVerifyDependencies(),
            context.retryAfterSeconds());
    this.submissions = new SubmissionHandler(context, knownJobs, statusReader, responses);
    this.cancellations =
        new CancellationHandler(
            store, knownJobs, statusReader, responses, context.cancellationNotifier());
  }

  /** The leader's latest task counts: it names the jobs with running or completed tasks. */
  public void onSummary(JobSummary summary) {
    knownJobs.onSummary(summary);
  }

  /** An active job as the view shows it; without a record, one that this build can't read. */
  public void onActive(JobId id, Optional<JobRecord> record) {
    knownJobs.onActive(id, record);
  }

  /** The view no longer shows the job as active. */
  public void onNoLongerActive(JobId id) {
    knownJobs.onNoLongerActive(id);
    submissions.onNoLongerActive(id);
  }

  /** All changes of active jobs up to the revision were shown. */
  public void onCaughtUp(Revision revision) {
    knownJobs.onCaughtUp(revision);
  }

  /** Handles the body of a submission. */
  public void submit(String body, Responder responder) {
    submissions.submit(body, responder);
  }

  /** Responds with a job's phase. */
  public void poll(JobId id, Responder responder) {
    if (!JobCodec.isJobId(id.value())) {
      responses.respondNotFound(responder);
      return;
    }
    Optional<JobPhase> terminal = knownJobs.terminalPhase(id);
    if (terminal.isPresent()) {
      responses.respondWithPhase(id, HttpStatus.OK, terminal.get(), responder);
      return;
    }
    statusReader.readCurrent(
        id,
        status -> responses.respondWithStatusOrNotFound(id, status, responder),
        () -> responses.respondUnavailable(responder));
  }

  /** Cancels a job, unless it has ended. */
  public void cancel(JobId id, Responder responder) {
    if (JobCodec.isJobId(id.value())) {
      cancellations.cancel(id, responder);
    } else {
      responses.respondNotFound(responder);
    }
  }
}
