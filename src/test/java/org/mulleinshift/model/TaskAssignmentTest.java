package org.mulleinshift.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;

/**
 * Guards against a task that two owners start as new, because the leader learned of a grant only
 * after it had sent the assignment, stored later than the grant, to the owner before.
 */
final class TaskAssignmentTest {
  private static final Revision EARLIER_GRANT = new Revision(10);
  private static final Revision GRANT = new Revision(20);
  private static final Revision AFTER_GRANT = new Revision(25);

  private static TaskAssignment assignment() {
    return new TaskAssignment(
        new TaskId(new JobId("run-1"), 0),
        Resources.ZERO,
        new ShardId("a-0"),
        new ZoneId("a"),
        new Attempt(1),
        TaskAssignment.State.WRITING);
  }

  @Test
  void isFreshForTheOwnerThatHearsOfItFirst() {
    TaskAssignment assignment = assignment();
    assignment.markStored(AFTER_GRANT);
    assignment.markSent(GRANT);
    assertTrue(assignment.isFreshUnder(GRANT));
    assignment.markSent(GRANT);
    assertTrue(assignment.isFreshUnder(GRANT), "also when it is sent again");
  }

  @Test
  void isNotFreshForTheNextOwner() {
    TaskAssignment assignment = assignment();
    assignment.markStored(AFTER_GRANT);
    assignment.markSent(EARLIER_GRANT);
    assignment.markSent(GRANT);
    assertFalse(assignment.isFreshUnder(GRANT));
  }

  @Test
  void isNotFreshUnderAGrantThatIsNewerThanIt() {
    TaskAssignment assignment = assignment();
    assignment.markStored(GRANT);
    assignment.markSent(GRANT);
    assertFalse(assignment.isFreshUnder(GRANT));
  }
}
