package org.mulleinshift.digest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The digest needs runs with one seed to send the same messages, and other seeds others. */
final class BehaviourDigestTest {
  private static final List<String> LINES =
      List.of("type small cpus=8 a=2", "team t", "at 3 job run-1 tasks=4 cpus=2 run=5", "run 40");

  @Test
  void repeatsItselfForOneSeedOnly() throws Exception {
    String first = BehaviourDigest.hash(new BehaviourDigest.ScenarioRun("small", 1, LINES));
    assertEquals(first, BehaviourDigest.hash(new BehaviourDigest.ScenarioRun("small", 1, LINES)));
    assertNotEquals(
        first, BehaviourDigest.hash(new BehaviourDigest.ScenarioRun("small", 2, LINES)));
  }
}
