package org.mulleinshift.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.dependencies.DependencyListWriter;
import org.mulleinshift.dependencies.DependencyValidator;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.CommitResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Handles submissions. A job is stored before its acceptance is acknowledged. Retries with the same
 * job id are idempotent.
 */
final class SubmissionHandler {
  private static final int MAX_COMMIT_ATTEMPTS = 4;
  private static final Duration BUSY_BACKOFF = Duration.ofMillis(120);
  private static final Revision ABSENT = new Revision(0);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final KnownJobs knownJobs;
  private final JobStatusReader statusReader;
  private final JobResponseWriter responses;
  private final Supplier<MemoryPressure> memoryPressure;
  private final SubmissionValidator validator;
  private final DependencyValidator dependencyValidator;
  private final DependencyListWriter dependencyLists;
  private final int maxValueBytes;

  SubmissionHandler(
      JobApi.Context context,
      KnownJobs knownJobs,
      JobStatusReader statusReader,
      JobResponseWriter responses) {
    PlatformSettings.Cluster cluster = context.cluster();
    this.loop = context.loop();
    this.store = context.store();
    this.knownJobs = knownJobs;
    this.statusReader = statusReader;
    this.responses = responses;
    this.memoryPressure = context.memoryPressure();
    this.validator = new SubmissionValidator(context.catalog(), cluster.teams());
    this.dependencyValidator = new DependencyValidator(store, knownJobs::isAccepted);
    this.maxValueBytes = cluster.storeLimits().lowestMaxValueBytes();
    this.dependencyLists =
        new DependencyListWriter(
            loop, store, maxValueBytes, cluster.storeLimits().lowestMaxTransactionOperations());
  }

  /** Records that a job that is no longer active was accepted, whatever its final phase. */
  void onNoLongerActive(JobId id) {
    dependencyValidator.markAccepted(id);
  }

  /** Handles a submission, given as the request's body. */
  void submit(String body, Responder responder) {
    if (memoryPressure.get() == MemoryPressure.CRITICAL) {
      responses.respondUnavailable(responder);
      return;
    }
    JobSpec spec;
    List<JobId> dependencies;
    try {
      JsonNode submission = Json.parseObject(body);
      spec = JobCodec.parseSubmission(submission);
      dependencies = JobCodec.parseDependencies(submission);
    } catch (MalformedMessageException e) {
      rejectUnlessAccepted(body, HttpStatus.BAD_REQUEST, e.getMessage(), responder);
      return;
    }
    if (!validator.isReady()) {
      responses.respondUnavailable(responder);
      return;
    }
    Optional<String> violation = validator.findViolation(spec);
    if (violation.isPresent()) {
      rejectUnlessAccepted(body, HttpStatus.UNPROCESSABLE_CONTENT, violation.get(), responder);
      return;
    }
    checkDependencies(body, spec, dependencies, responder);
  }

  private void checkDependencies(
      String body, JobSpec spec, List<JobId> dependencies, Responder responder) {
    int rejected = HttpStatus.UNPROCESSABLE_CONTENT;
    if (dependencies.contains(spec.id())) {
      rejectUnlessAccepted(body, rejected, "awaits itself", responder);
      return;
    }
    dependencyValidator.check(
        dependencies,
        verdict -> {
          switch (verdict) {
            case ALL_ACCEPTED -> accept(spec, dependencies, responder);
            case UNKNOWN_JOB ->
                rejectUnlessAccepted(body, rejected, "awaits an unknown job", responder);
            case UNDECIDED -> responses.respondUnavailable(responder);
          }
        });
  }

  /**
   * Rejects an invalid submission, unless its job was accepted before: then it responds with that
   * job's status.
   */
  private void rejectUnlessAccepted(
      String body, int httpStatus, String reason, Responder responder) {
    Optional<JobId> id = findJobId(body);
    if (id.isEmpty()) {
      responses.respondRejected(httpStatus, reason, responder);
      return;
    }
    statusReader.readStoredWithDependencies(
        id.get(),
        status -> {
          if (knownJobs.newerOf(id.get(), status) instanceof JobStatus.NeverAccepted) {
            responses.respondRejected(httpStatus, reason, responder);
          } else {
            responses.respondWithStatus(id.get(), status, responder);
          }
        });
  }

  private static Optional<JobId> findJobId(String body) {
    try {
      return JobCodec.findJobId(Json.parseObject(body));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private void accept(JobSpec spec, List<JobId> dependencies, Responder responder) {
    JobId id = spec.id();
    Optional<JobPhase> terminal = knownJobs.terminalPhase(id);
    if (terminal.isPresent()) {
      responses.respondWithPhase(id, HttpStatus.OK, terminal.get(), responder);
      return;
    }
    if (knownJobs.findActive(id).isPresent()) {
      // Known to be accepted: a transaction, which would certainly fail, would use up write rate.
      statusReader.readCurrent(
          id,
          status -> responses.respondWithStatus(id, status, responder),
          () -> responses.respondUnavailable(responder));
      return;
    }
    JsonNode record =
        JobRecord.value(spec, JobDependencies.of(dependencies), loop.wallMillis(), false);
    if (StoreCodec.encodedLength(record) <= maxValueBytes) {
      store(id, record, MAX_COMMIT_ATTEMPTS, responder);
    } else if (dependencies.isEmpty()) {
      responses.respondRejected(HttpStatus.BAD_REQUEST, "job too long", responder);
    } else {
      storeWithDependencyLists(spec, dependencies, responder);
    }
  }

  private void storeWithDependencyLists(
      JobSpec spec, List<JobId> dependencies, Responder responder) {
    dependencyLists.write(
        spec.id(),
        dependencies,
        lists -> {
          JsonNode record = JobRecord.value(spec, lists, loop.wallMillis(), false);
          store(spec.id(), record, MAX_COMMIT_ATTEMPTS, responder);
        },
        failure -> {
          if (failure instanceof CommitResult.Conflict) {
            respondWithStored(spec.id(), responder);
          } else {
            responses.respondUnavailable(responder);
          }
        });
  }

  private void store(JobId id, JsonNode record, int remainingAttempts, Responder responder) {
    store.commit(
        List.of(
            new Compare(StoreKeys.activeJob(id), ABSENT),
            new Compare(StoreKeys.endedJob(id), ABSENT)),
        List.of(Write.put(StoreKeys.activeJob(id), record)),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof CommitResult.Committed) {
            acknowledge(id, responder);
          } else if (outcome instanceof CommitResult.Conflict) {
            respondWithStored(id, responder);
          } else if (outcome instanceof CommitResult.Busy && remainingAttempts > 1) {
            // Not stored; the write rate limit may permit it after the backoff.
            loop.after(BUSY_BACKOFF, () -> store(id, record, remainingAttempts - 1, responder));
          } else {
            // Not retried here: the user can safely retry with the same job id.
            responses.respondUnavailable(responder);
          }
        });
  }

  /**
   * Responds with the job's newest status: another controller may have reported a newer one than
   * pending before the response to this commit arrived.
   */
  private void acknowledge(JobId id, Responder responder) {
    JobStatus now = knownJobs.newerOf(id, new JobStatus.Unknown());
    if (now instanceof JobStatus.Unknown) {
      responses.respondWithPhase(id, HttpStatus.CREATED, JobPhase.PENDING, responder);
    } else {
      responses.respondWithStatus(id, now, responder);
    }
  }

  private void respondWithStored(JobId id, Responder responder) {
    statusReader.readStoredWithDependencies(
        id, status -> responses.respondWithStatus(id, status, responder));
  }
}
