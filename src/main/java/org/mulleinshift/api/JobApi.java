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
 * Handles users' requests about jobs, on any controller. Acceptances and cancellations are stored
 * before they are acknowledged. A response about a job that can still change is at least as fresh
 * as the request; if that can't be guaranteed, the response is 503.
 */
public final class JobApi {
  /**
   * Dependencies and settings of the interface.
   *
   * @param loop the event loop on which all calls run
   * @param store holds the jobs
   * @param catalog machine types against which submissions are validated
   * @param cluster the teams' quotas and the store's limits
   * @param retryAfterSeconds value of the Retry-After header of 503 responses
   * @param viewFreshnessCheck confirms that the view of active jobs built by {@link #onActive} is
   *     current
   * @param memoryPressure current memory pressure; fewer requests are admitted when it is high
   * @param cancellationNotifier announces cancellations to other controllers before they are
   *     acknowledged
   * @param allControllersVerifyDependencies whether every controller, before it reports a job as
   *     waiting, verifies with the store that none of its dependencies was cancelled
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

  /** Creates an interface that knows of no jobs yet. */
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

  /** Receives the leader's latest task counts, of all jobs with running or completed tasks. */
  public void onSummary(JobSummary summary) {
    knownJobs.onSummary(summary);
  }

  /** Adds or updates an active job; the record is empty if this build can't read it. */
  public void onActive(JobId id, Optional<JobRecord> record) {
    knownJobs.onActive(id, record);
  }

  /** Removes a job that is no longer active. */
  public void onNoLongerActive(JobId id) {
    knownJobs.onNoLongerActive(id);
    submissions.onNoLongerActive(id);
  }

  /** Called when all changes of active jobs up to the revision have been passed on. */
  public void onCaughtUp(Revision revision) {
    knownJobs.onCaughtUp(revision);
  }

  /** Handles a submission, given as the request's body. */
  public void submit(String body, Responder responder) {
    submissions.submit(body, responder);
  }

  /**
   * Responds with a job's phase; 404 if it was never accepted, 503 if its phase can't be confirmed.
   */
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

  /** Cancels a job unless it has ended, and responds with its phase; 404 if never accepted. */
  public void cancel(JobId id, Responder responder) {
    if (JobCodec.isJobId(id.value())) {
      cancellations.cancel(id, responder);
    } else {
      responses.respondNotFound(responder);
    }
  }
}
