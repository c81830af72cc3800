package org.mulleinshift.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes responses about jobs, with the task counts of the leader's latest summary. If a job's
 * phase is not certain, the response is 503.
 */
final class JobResponseWriter {
  private static final Logger LOG = LoggerFactory.getLogger(JobResponseWriter.class);

  private final KnownJobs knownJobs;
  private final DependencyCheck dependencyCheck;
  private final BooleanSupplier allControllersVerifyDependencies;
  private final int retryAfterSeconds;

  /**
   * Creates a writer.
   *
   * @param allControllersVerifyDependencies whether every controller derives from the store alone
   *     that a dependency was cancelled; one that does not might report a job as waiting that this
   *     node reports as cancelled
   */
  JobResponseWriter(
      KnownJobs knownJobs,
      DependencyCheck dependencyCheck,
      BooleanSupplier allControllersVerifyDependencies,
      int retryAfterSeconds) {
    this.knownJobs = knownJobs;
    this.dependencyCheck = dependencyCheck;
    this.allControllersVerifyDependencies = allControllersVerifyDependencies;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Responds with the newer of the status read and the status known now; 404 if never accepted. */
  void respondWithStatusOrNotFound(JobId id, JobStatus read, Responder responder) {
    if (knownJobs.newerOf(id, read) instanceof JobStatus.NeverAccepted) {
      respondNotFound(responder);
    } else {
      respondWithStatus(id, read, responder);
    }
  }

  /** Responds with the newer of the status read and the status known now; 503 if never accepted. */
  void respondWithStatus(JobId id, JobStatus read, Responder responder) {
    JobStatus status = knownJobs.newerOf(id, read);
    if (status instanceof JobStatus.Active active) {
      respondWithActive(id, active, responder);
    } else if (status instanceof JobStatus.Ended ended) {
      respondWithPhase(id, HttpStatus.OK, ended.phase(), responder);
    } else {
      respondUnavailable(responder);
    }
  }

  private void respondWithActive(JobId id, JobStatus.Active active, Responder responder) {
    if (active.job().cancelled()) {
      respondWithCancelled(id, responder);
      return;
    }
    // A job is reported as pending or running only if none of its dependencies was cancelled.
    DependencyVerdict verdict = dependencyCheck.verdict(active.job());
    if (verdict instanceof DependencyVerdict.NoneCancelled) {
      respondWithPhase(id, HttpStatus.OK, activePhase(id), responder);
    } else if (verdict instanceof DependencyVerdict.Cancelled
        && allControllersVerifyDependencies.getAsBoolean()) {
      respondWithCancelled(id, responder);
    } else {
      LOG.debug(
          "job not answered, job={} verdict={} view_revision={}",
          id,
          verdict,
          knownJobs.viewRevision());
      respondUnavailable(responder);
    }
  }

  private void respondWithCancelled(JobId id, Responder responder) {
    knownJobs.cacheCancellation(id);
    respondWithPhase(id, HttpStatus.OK, JobPhase.CANCELLED, responder);
  }

  private JobPhase activePhase(JobId id) {
    boolean running =
        knownJobs.taskCounts(id).filter(counts -> counts.getRunning() > 0).isPresent();
    return running ? JobPhase.RUNNING : JobPhase.PENDING;
  }

  /** Responds with a phase, and with the task counts of a job that has not ended. */
  void respondWithPhase(JobId id, int httpStatus, JobPhase phase, Responder responder) {
    Optional<JobTaskCounts> counts =
        phase.isTerminal() ? Optional.empty() : knownJobs.taskCounts(id);
    LOG.debug(
        "job answered, job={} phase={} view_revision={} counts={}",
        id,
        phase,
        knownJobs.viewRevision(),
        counts);
    OptionalInt done =
        counts.map(count -> OptionalInt.of(count.getDone())).orElse(OptionalInt.empty());
    OptionalInt running =
        counts.map(count -> OptionalInt.of(count.getRunning())).orElse(OptionalInt.empty());
    responder.respond(httpStatus, JobCodec.writeStatus(id, phase, done, running));
  }

  /** Responds that the request is invalid or can never be fulfilled. */
  void respondRejected(int httpStatus, String reason, Responder responder) {
    responder.respond(httpStatus, JobCodec.writeError(reason));
  }

  /** Responds with 404: no such job was ever accepted. */
  void respondNotFound(Responder responder) {
    responder.respond(HttpStatus.NOT_FOUND, JobCodec.writeError("no such job"));
  }

  /** Responds with 503 and a Retry-After header. */
  void respondUnavailable(Responder responder) {
    responder.respondWithRetryAfter(
        HttpStatus.SERVICE_UNAVAILABLE, JobCodec.writeError("try again"), retryAfterSeconds);
  }
}
