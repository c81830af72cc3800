package org.mulleinshift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.JobSpecSamples;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.store.StoreKeys;

/** Responses about a job with dependencies, depending on what the store holds about these. */
final class DependentJobAnswersTest extends JobApiFixture {
  private static final JobId DEPENDENCY = new JobId("run-2");
  private static final JobId INDIRECT = new JobId("run-3");

  private static JobRecord record(JobId job, JobDependencies dependencies, boolean cancelled) {
    JobSpec spec = JobSpecSamples.withoutOptionalFields(job, 16);
    return new JobRecord(spec, dependencies, 1, cancelled, new Revision(5), Optional.empty());
  }

  private void showActive(JobId job, JobId dependency) {
    JobDependencies dependencies = JobDependencies.of(List.of(dependency));
    api.onActive(job, Optional.of(record(job, dependencies, false)));
  }

  @Test
  void dependentStatusUsesStoredEndOfDependency() {
    showActive(JOB, DEPENDENCY);
    assertEquals(TRY_AGAIN, poll(), "neither active nor ended");
    storeEnded(DEPENDENCY, JobPhase.CANCELLED);
    store.readStatus = 503;
    assertEquals(TRY_AGAIN, poll(), "end unreadable");
    store.readStatus = 200;
    allControllersVerifyDependencies = false;
    assertEquals(TRY_AGAIN, poll(), "some controllers run an older build");
    allControllersVerifyDependencies = true;
    assertEquals(phase(200, "cancelled"), poll(), "end stored as cancelled");
  }

  @Test
  void dependentIsPendingAfterDependencyIsDone() {
    showActive(JOB, DEPENDENCY);
    storeEnded(DEPENDENCY, JobPhase.DONE);
    assertEquals(phase(200, "pending"), poll(), "dependency done");
    store.readStatus = 503;
    assertEquals(phase(200, "pending"), poll(), "final phase is cached");
  }

  @Test
  void dependentOfCancelledActiveJobIsUnavailable() {
    showActive(JOB, DEPENDENCY);
    api.onActive(DEPENDENCY, Optional.of(record(DEPENDENCY, JobDependencies.NONE, false)));
    assertEquals(phase(200, "pending"), poll(), "dependency active");
    api.onActive(DEPENDENCY, Optional.of(record(DEPENDENCY, JobDependencies.NONE, true)));
    assertEquals(TRY_AGAIN, poll(), "dependency cancelled");
  }

  @Test
  void dependentIsCancelledByIndirectDependency() {
    showActive(JOB, DEPENDENCY);
    showActive(DEPENDENCY, INDIRECT);
    storeEnded(INDIRECT, JobPhase.CANCELLED);
    assertEquals(phase(200, "cancelled"), poll());
  }

  @Test
  void dependenciesStoredInListsAreChecked() {
    api.onActive(JOB, Optional.of(record(JOB, new JobDependencies(List.of(), 2, "digest"), false)));
    storeEnded(INDIRECT, JobPhase.CANCELLED);
    storeEnded(DEPENDENCY, JobPhase.DONE);
    storeList(0, DEPENDENCY);
    assertEquals(TRY_AGAIN, poll(), "a list is missing");
    storeList(1, INDIRECT);
    assertEquals(phase(200, "cancelled"), poll());
  }

  private void storeList(int list, JobId dependency) {
    store.put(
        StoreKeys.dependencyList(JOB, "digest", list),
        JobDependencies.listValue(List.of(dependency)).toString());
  }

  @Test
  void jobEndingDuringDependencyReadsIsReportedAsEnded() {
    showActive(JOB, DEPENDENCY);
    storeEnded(DEPENDENCY, JobPhase.DONE);
    storeEnded(JobPhase.DONE);
    store.onRead = () -> api.onNoLongerActive(JOB);
    assertEquals(phase(200, "done"), poll());
  }

  @Test
  void jobWithTasksNeedsNoDependencyReads() {
    showActive(JOB, DEPENDENCY);
    api.onSummary(new JobSummary(List.of(new JobTaskCounts("run-1", 0, 2))));
    assertEquals(
        answer(200, "{\"ref\":\"run-1\",\"phase\":\"running\",\"done\":0,\"running\":2}"), poll());
  }

  @Test
  void resubmissionOfDependentRequiresConfirmedView() {
    store.commitStatus = 409;
    JobDependencies dependencies = JobDependencies.of(List.of(DEPENDENCY));
    store.put(StoreKeys.activeJob(JOB), JobRecord.value(SPEC, dependencies, 1, false).toString());
    storeEnded(DEPENDENCY, JobPhase.DONE);
    onConfirmation = () -> showActive(JOB, DEPENDENCY);
    viewConfirmed = false;
    assertEquals(TRY_AGAIN, submit(), "view not confirmed");
    viewConfirmed = true;
    assertEquals(phase(200, "pending"), submit(), "dependency done");
  }
}
