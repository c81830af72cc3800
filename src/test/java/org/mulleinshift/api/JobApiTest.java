package org.mulleinshift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;

/** Status, Retry-After and body of each response to a user. */
final class JobApiTest extends JobApiFixture {
  @Test
  void acceptsANewJob() {
    assertEquals(phase(201, "pending"), submit());
  }

  @Test
  void answersARepeatedSubmissionWithTheJobsPhase() {
    store.commitStatus = 409;
    storeActive(false);
    assertEquals(phase(200, "pending"), submit(), "active");
    storeActive(true);
    assertEquals(phase(200, "cancelled"), submit(), "cancelled");
  }

  @Test
  void answersASubmissionOfAnEndedJobWithItsPhase() {
    store.commitStatus = 409;
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), submit());
  }

  @ParameterizedTest
  @CsvSource({
    "crew,\"nobody\",422,unknown team",
    "crew,\"small\",422,more than the team's limit",
    "cpus,1000,422,a task fits no allowed machine type",
    "yard,\"b\",422,a task fits no allowed machine type",
    "awaits,[\"run-1\"],422,awaits itself",
    "awaits,[\"run-2\"],422,awaits an unknown job",
    "awaits,\"run-2\",400,awaits is not a list",
    "shape,\"round\",400,shape is not one of the known values",
    "pieces,0,400,pieces is missing or out of range",
  })
  void rejectsInvalidSubmissionUnlessAlreadyAccepted(
      String field, String value, int status, String reason) {
    ObjectNode node = submission();
    node.remove(field);
    String rest = node.toString();
    String body = rest.substring(0, rest.length() - 1) + ",\"" + field + "\":" + value + "}";
    assertEquals(answer(status, "{\"error\":\"" + reason + "\"}"), submit(body), "new job");
    storeActive(false);
    assertEquals(phase(200, "pending"), submit(body), "accepted job");
    store.readStatus = 503;
    assertEquals(TRY_AGAIN, submit(body), "unreadable job");
  }

  @Test
  void rejectsMalformedSubmission() {
    assertEquals(answer(400, "{\"error\":\"not JSON\"}"), submit("{"));
    assertEquals(answer(400, "{\"error\":\"not an object\"}"), submit("[]"));
    assertEquals(answer(400, "{\"error\":\"ref is missing or not a short text\"}"), submit("{}"));
    assertEquals(answer(400, "{\"error\":\"ref is not a job id\"}"), submit("{\"ref\":\"x\"}"));
  }

  @Test
  void submissionIsTemporarilyUnavailable() {
    catalogStatus = 503;
    assertEquals(TRY_AGAIN, submit(), "machine types unknown");
    catalogStatus = 200;
    store.commitStatus = 503;
    assertEquals(TRY_AGAIN, submit(), "store unavailable");
    store.commitStatus = 200;
    memoryPressure = MemoryPressure.CRITICAL;
    assertEquals(TRY_AGAIN, submit(), "critical memory pressure");
  }

  @Test
  void answersAPoll() {
    assertEquals(NOT_FOUND, poll(), "never accepted");
    showActive();
    assertEquals(phase(200, "pending"), poll(), "before the first summary");
    api.onSummary(new JobSummary(List.of()));
    assertEquals(
        answer(200, "{\"ref\":\"run-1\",\"phase\":\"pending\",\"done\":0,\"running\":0}"),
        poll(),
        "without tasks");
    api.onSummary(new JobSummary(List.of(new JobTaskCounts("run-1", 3, 13))));
    assertEquals(
        answer(200, "{\"ref\":\"run-1\",\"phase\":\"running\",\"done\":3,\"running\":13}"),
        poll(),
        "with tasks");
    viewConfirmed = false;
    assertEquals(TRY_AGAIN, poll(), "view not confirmed");
    viewConfirmed = true;
    api.onNoLongerActive(JOB);
    store.readStatus = 503;
    assertEquals(TRY_AGAIN, poll(), "end unreadable");
    store.readStatus = 200;
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), poll(), "done");
  }

  @Test
  void anInvalidIdIsNotFound() {
    JobId invalid = new JobId("job-1");
    assertEquals(NOT_FOUND, answerTo(responder -> api.poll(invalid, responder)), "poll");
    assertEquals(NOT_FOUND, answerTo(responder -> api.cancel(invalid, responder)), "cancel");
  }

  @Test
  void cancelsAJob() {
    assertEquals(NOT_FOUND, cancel(), "never accepted");
    storeActive(false);
    store.commitStatus = 409;
    assertEquals(TRY_AGAIN, cancel(), "every commit attempt conflicts");
    store.commitStatus = 503;
    assertEquals(TRY_AGAIN, cancel(), "store unavailable");
    store.commitStatus = 200;
    assertEquals(phase(200, "cancelled"), cancel(), "active");
    assertEquals(phase(200, "cancelled"), poll(), "poll of a cancelled job");
  }

  /** Guards against a conclusion that a job has ended since the view does not show it. */
  @Test
  void announcesARepeatedCancellationOfAJobThatTheViewDoesNotShow() {
    storeActive(true);
    store.commitStatus = 409;
    assertEquals(phase(200, "cancelled"), submit(), "read from the store");
    announcementsAcknowledged = false;
    assertEquals(TRY_AGAIN, cancel(), "announced, but not acknowledged");
    announcementsAcknowledged = true;
    assertEquals(phase(200, "cancelled"), cancel());
    assertEquals(List.of(JOB, JOB), announced);
    assertEquals(phase(200, "cancelled"), cancel());
    assertEquals(List.of(JOB, JOB), announced, "acknowledged already");
  }

  @Test
  void announcesNoCancellationOfAJobThatIsStoredAsEnded() {
    storeEnded(JobPhase.CANCELLED);
    assertEquals(phase(200, "cancelled"), cancel());
    assertEquals(phase(200, "cancelled"), cancel());
    assertEquals(List.of(), announced);
  }

  /** Guards against a cancellation that is confirmed for a record that was accepted meanwhile. */
  @Test
  void cancelsAJobThatTheViewShowsBeforeTheStoreIsRead() {
    showActive();
    store.commitStatus = 409;
    assertEquals(TRY_AGAIN, cancel(), "not stored, so not confirmed");
    assertEquals(List.of(), announced);
    store.commitStatus = 200;
    assertEquals(phase(200, "cancelled"), cancel());
    assertEquals(List.of(JOB), announced);
  }

  @Test
  void cancellingDoneJobKeepsItDone() {
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), cancel());
  }
}
