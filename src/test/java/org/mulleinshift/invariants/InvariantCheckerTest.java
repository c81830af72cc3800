package org.mulleinshift.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mulleinshift.simulation.time.VirtualTimeline;

/** Each violation of a rule is reported, and nothing else is. */
final class InvariantCheckerTest {
  private static final double CANCEL_SECONDS = 32;
  private static final int OK = 200;
  private static final MachineTraits FIRST = new MachineTraits("i-1", "small", "a", false);
  private static final MachineTraits SECOND = new MachineTraits("i-2", "small", "b", true);

  private final VirtualTimeline timeline = new VirtualTimeline(1);
  private final InvariantChecker checker =
      new InvariantChecker(timeline, Map.of("t", 4.0), CANCEL_SECONDS);

  private ObservedJob submitted(String id, Map<String, String> fields) {
    ObservedJob job = new ObservedJob(id, fields);
    checker.jobs().add(job);
    job.submit(timeline.seconds());
    return job;
  }

  private void reported(String job, String phase) {
    checker.reportedPhases().responseReceived(job, timeline.seconds(), OK, phase);
  }

  private void assertBroken(Rule... rules) {
    List<String> found =
        checker.violations().lines().stream().map(line -> line.split("[ :]", 0)[1]).toList();
    assertEquals(
        List.of(rules).stream().map(Rule::toString).toList(),
        found,
        () -> checker.violations().lines().toString());
  }

  @Test
  void aJobThatRunsOnceAndIsReportedAsDoneBreaksNothing() {
    submitted("run-1", Map.of("cpus", "2"));
    reported("run-1", "waiting");
    checker.tasks().started("run-1/0", FIRST);
    checker.tasks().completed("run-1/0");
    checker.tasks().ended("run-1/0", FIRST.name());
    reported("run-1", "done");
    checker.checkAtEnd(0);
    assertBroken();
  }

  @Test
  void aJobMayBeReportedCancelledBeforeTheOneItIsCancelledWith() {
    ObservedJob dependency = submitted("run-1", Map.of());
    submitted("run-2", Map.of("awaits", "run-1"));
    dependency.requestCancellation();
    reported("run-2", "cancelled");
    reported("run-1", "cancelled");
    checker.checkAtEnd(0);
    assertBroken();
  }

  @Test
  void aJobThatIsCancelledWithOneThatIsNotIsFound() {
    ObservedJob dependency = submitted("run-1", Map.of());
    submitted("run-2", Map.of("awaits", "run-1"));
    dependency.requestCancellation();
    reported("run-2", "cancelled");
    checker.checkAtEnd(0);
    assertBroken(Rule.WENT_BACK);
  }

  @Test
  void aJobThatIsCancelledWithoutARequestIsFound() {
    submitted("run-1", Map.of());
    submitted("run-2", Map.of("awaits", "run-1"));
    reported("run-2", "cancelled");
    assertBroken(Rule.WENT_BACK);
  }

  @Test
  void aTaskThatRunsOnTwoMachinesIsFound() {
    submitted("run-1", Map.of());
    checker.tasks().started("run-1/0", FIRST);
    checker.tasks().started("run-1/0", SECOND);
    assertBroken(Rule.RAN_TWICE);
  }

  @Test
  void aTaskOnASpotMachineThatItsJobExcludesIsFound() {
    submitted("run-1", Map.of("spot", "no"));
    checker.tasks().started("run-1/0", SECOND);
    assertBroken(Rule.WRONG_PLACE);
  }

  @Test
  void tasksInTwoZonesOfAJobForOneZoneAreFound() {
    submitted("run-1", Map.of("tasks", "2", "one_zone", "yes"));
    checker.tasks().started("run-1/0", FIRST);
    checker.tasks().started("run-1/1", SECOND);
    assertBroken(Rule.WRONG_PLACE);
  }

  @Test
  void tooManyTasksInOneZoneOfASpreadJobAreFound() {
    submitted("run-1", Map.of("tasks", "2", "spread", "yes"));
    checker.tasks().started("run-1/0", FIRST);
    checker.tasks().started("run-1/1", FIRST);
    assertBroken(Rule.WRONG_PLACE);
  }

  @Test
  void aStartAfterTheStoredEndIsFound() {
    submitted("run-1", Map.of());
    checker.tasks().jobEndStoredWhen("run-1"::equals);
    checker.tasks().started("run-1/0", FIRST);
    assertBroken(Rule.OVER);
  }

  @Test
  void aStartBeforeADependencyIsDoneIsFound() {
    submitted("run-1", Map.of());
    submitted("run-2", Map.of("awaits", "run-1"));
    checker.tasks().started("run-2/0", FIRST);
    assertBroken(Rule.TOO_EARLY);
  }

  @Test
  void aTeamAboveItsLimitIsFound() {
    submitted("run-1", Map.of("tasks", "2", "cpus", "3"));
    checker.tasks().started("run-1/0", FIRST);
    checker.tasks().started("run-1/1", SECOND);
    assertBroken(Rule.QUOTA);
  }

  @Test
  void aTaskThatOutlivesItsCancellationIsFoundAtTheEnd() {
    ObservedJob job = submitted("run-1", Map.of());
    checker.tasks().started("run-1/0", FIRST);
    job.requestCancellation();
    reported("run-1", "cancelled");
    timeline.runUntil(CANCEL_SECONDS + 1);
    reported("run-1", "cancelled");
    checker.checkAtEnd(0);
    assertBroken(Rule.RAN_CANCELLED);
  }

  @Test
  void aStartLongAfterACancellationIsFound() {
    ObservedJob job = submitted("run-1", Map.of());
    job.requestCancellation();
    reported("run-1", "cancelled");
    timeline.runUntil(CANCEL_SECONDS + 1);
    checker.tasks().started("run-1/0", FIRST);
    assertBroken(Rule.RAN_CANCELLED);
  }

  @Test
  void aPhaseThatChangesAfterTheEndIsFound() {
    ObservedJob job = submitted("run-1", Map.of());
    job.requestCancellation();
    reported("run-1", "cancelled");
    reported("run-1", "running");
    assertBroken(Rule.WENT_BACK);
  }

  @Test
  void anOlderPhaseInAnAnswerToAnEarlierRequestIsAllowed() {
    ObservedJob job = submitted("run-1", Map.of());
    timeline.runUntil(1);
    job.requestCancellation();
    reported("run-1", "cancelled");
    checker.reportedPhases().responseReceived("run-1", 0, OK, "running");
    assertBroken();
  }

  @Test
  void aCancellationThatNobodyAskedForIsFound() {
    submitted("run-1", Map.of());
    reported("run-1", "cancelled");
    assertBroken(Rule.WENT_BACK);
  }

  @Test
  void aDependentThatStaysOpenAfterACancellationIsFound() {
    submitted("run-1", Map.of()).requestCancellation();
    submitted("run-2", Map.of("awaits", "run-1"));
    reported("run-1", "cancelled");
    timeline.runUntil(CANCEL_SECONDS + 1);
    reported("run-2", "waiting");
    assertBroken(Rule.ORPHANED);
  }

  @Test
  void aJobReportedAsDoneBeforeItsTasksAreIsFound() {
    submitted("run-1", Map.of("tasks", "2"));
    checker.tasks().completed("run-1/0");
    reported("run-1", "done");
    assertBroken(Rule.NOT_DONE);
  }

  @Test
  void anAcceptedJobThatIsNotFoundOrRejectedIsForgotten() {
    submitted("run-1", Map.of());
    reported("run-1", "waiting");
    checker.reportedPhases().responseReceived("run-1", timeline.seconds(), 404, "");
    checker.reportedPhases().rejected("run-1", 422);
    assertBroken(Rule.FORGOTTEN, Rule.FORGOTTEN);
  }

  @Test
  void aJobWithoutAnswersIsFoundAtTheEnd() {
    submitted("run-1", Map.of());
    reported("run-1", "waiting");
    timeline.runUntil(100);
    checker.checkAtEnd(10);
    assertBroken(Rule.FORGOTTEN);
  }

  @Test
  void anAnswerAboutAJobThatNobodySubmittedIsFound() {
    reported("run-1", "waiting");
    assertBroken(Rule.INVENTED);
  }

  @Test
  void aJobThatWaitsWhileAMachineFitsIsFoundOnce() {
    submitted("run-1", Map.of());
    reported("run-1", "waiting");
    new StarvationCheck(timeline, checker, (job, zoneAllowed) -> true, job -> false).start();
    timeline.runUntil(200);
    assertBroken(Rule.LEFT_WAITING);
  }

  @Test
  void aJobThatFitsNowhereMayWait() {
    submitted("run-1", Map.of());
    reported("run-1", "waiting");
    new StarvationCheck(timeline, checker, (job, zoneAllowed) -> false, job -> false).start();
    timeline.runUntil(200);
    assertBroken();
  }
}
