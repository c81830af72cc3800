package org.mulleinshift.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the responses about jobs, with the task counts of the leader's latest summary. In doubt
 * the response is 503.
 */
final class JobResponseWriter {
  private static final Logger LOG = LoggerFactory.getLogger(JobResponseWriter.class);
  private static final JobTaskCounts NO_TASKS = new JobTaskCounts("", 0, 0);

  private final KnownJobs knownJobs;
  private final int retryAfterSeconds;
  private Map<String, JobTaskCounts> taskCounts = Map.of();

  /** The counts of a job that no summary names; none before the first summary. */
  private Optional<JobTaskCounts> defaultCounts = Optional.empty();

  JobResponseWriter(KnownJobs knownJobs, int retryAfterSeconds) {
    this.knownJobs = knownJobs;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** A summary names the jobs with running or completed tasks; all others have none. */
  void onSummary(JobSummary summary) {
    Map<String, JobTaskCounts> next = new LinkedHashMap<>();
    summary.getCounts().forEach(count -> next.put(count.getJob(), count));
    taskCounts = next;
    defaultCounts = Optional.of(NO_TASKS);
  }

  /** Responds with the newer of what was read and what is known now; 404 if never accepted. */
  void respondWithStatusOrNotFound(JobId id, JobStatus read, Responder responder) {
    if (knownJobs.newerOf(id, read) instanceof JobStatus.NeverAccepted) {
      respondNotFound(responder);
    } else {
      respondWithStatus(id, read, responder);
    }
  }

  /** Responds with the newer of what was read and what is known now; 503 if never accepted. */
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
      knownJobs.cacheTerminalPhase(id, JobPhase.CANCELLED);
      respondWithPhase(id, HttpStatus.OK, JobPhase.CANCELLED, responder);
    } else if (knownJobs.isCancelledWithDependency(id)) {
      respondUnavailable(responder);
    } else {
      JobTaskCounts counts = taskCounts.get(id.value());
      boolean running = counts != null && counts.getRunning() > 0;
      JobPhase phase = running ? JobPhase.RUNNING : JobPhase.PENDING;
      respondWithPhase(id, HttpStatus.OK, phase, responder);
    }
  }

  /** Responds with a phase, and with the task counts of a job that has not ended. */
  void respondWithPhase(JobId id, int httpStatus, JobPhase phase, Responder responder) {
    Optional<JobTaskCounts> counts =
        phase.isTerminal()
            ? Optional.empty()
            : Optional.ofNullable(taskCounts.get(id.value())).or(() -> defaultCounts);
    LOG.debug(
        "job answered, job={} phase={} view_revision={} counts={}",
        id,
        phase,
        knownJobs.viewRevision(),
        counts);
    OptionalInt done = counts.map(c -> OptionalInt.of(c.getDone())).orElse(OptionalInt.empty());
    OptionalInt running =
        counts.map(c -> OptionalInt.of(c.getRunning())).orElse(OptionalInt.empty());
    responder.respond(httpStatus, JobCodec.writeStatus(id, phase, done, running));
  }

  /** Responds that a request can never be carried out. */
  void respondRejected(int httpStatus, String reason, Responder responder) {
    responder.respond(httpStatus, JobCodec.writeError(reason));
  }

  /** Responds that no such job was ever accepted. */
  void respondNotFound(Responder responder) {
    responder.respond(HttpStatus.NOT_FOUND, JobCodec.writeError("no such job"));
  }

  /** Responds that the user may retry later. */
  void respondUnavailable(Responder responder) {
    responder.respondLater(
        HttpStatus.SERVICE_UNAVAILABLE, JobCodec.writeError("try again"), retryAfterSeconds);
  }
}
