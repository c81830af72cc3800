package org.mulleinshift.dependencies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.JobId;

/** Releases, removals and traversals of the dependency graph. */
class DependencyGraphTest {
  private static final int LONG_PATH = 100_000;
  private static final JobId FIRST = new JobId("first");
  private static final JobId SECOND = new JobId("second");
  private static final JobId THIRD = new JobId("third");
  private static final JobId LAST = new JobId("last");

  private final DependencyGraph graph = new DependencyGraph();

  @Test
  void jobIsReleasedByTheEndOfItsLastDependency() {
    // Given a job that waits for two others
    graph.add(LAST, List.of(FIRST, SECOND));
    // Then the end of the second one releases it
    assertEquals(List.of(), graph.complete(FIRST), "the other dependency is not done");
    assertEquals(Set.of(SECOND), graph.dependenciesOf(LAST), "what is done is removed");
    assertEquals(List.of(LAST), graph.complete(SECOND), "all dependencies are done");
  }

  @Test
  void removedJobIsNotReleased() {
    // Given a job that waits, and one that waits for it
    graph.add(SECOND, List.of(FIRST));
    graph.add(THIRD, List.of(SECOND));
    // When it is removed
    graph.remove(SECOND);
    // Then its dependency releases nothing, and its dependent waits on
    assertEquals(List.of(), graph.complete(FIRST), "the job no longer waits");
    assertEquals(Set.of(SECOND), graph.dependenciesOf(THIRD), "the dependent still waits");
  }

  @Test
  void transitiveDependentsAreFoundOnceTheNearestFirst() {
    // Given two jobs between the first and the last
    graph.add(SECOND, List.of(FIRST));
    graph.add(THIRD, List.of(FIRST));
    graph.add(LAST, List.of(SECOND, THIRD));
    assertEquals(
        List.of(SECOND, THIRD, LAST), graph.transitiveDependentsOf(FIRST), "each job once");
  }

  @Test
  void jobsAreVisitedAfterAllTheirDependents() {
    // Given a job that waits for two, one of which waits for the other
    graph.add(SECOND, List.of(FIRST));
    graph.add(LAST, List.of(FIRST, SECOND));
    // When all are visited
    List<JobId> visited = new ArrayList<>();
    graph.visitDependentsFirst(visited::add);
    // Then dependents come first
    assertEquals(List.of(LAST, SECOND, FIRST), visited, "dependents first");
  }

  @Test
  void jobsOnACycleAreNotVisited() {
    graph.add(FIRST, List.of(SECOND));
    graph.add(SECOND, List.of(FIRST));
    List<JobId> visited = new ArrayList<>();
    graph.visitDependentsFirst(visited::add);
    assertTrue(visited.isEmpty(), "no job of the cycle comes after all its dependents");
  }

  @Test
  void longPathsDoNotOverflowTheStack() {
    // Given a path of jobs, each of which waits for the one before
    for (int i = 1; i < LONG_PATH; i++) {
      graph.add(new JobId("job-" + i), List.of(new JobId("job-" + (i - 1))));
    }
    // When it is traversed in both directions
    List<JobId> visited = new ArrayList<>();
    graph.visitDependentsFirst(visited::add);
    // Then all jobs are found
    assertEquals(LONG_PATH, visited.size(), "visited jobs");
    assertEquals(
        LONG_PATH - 1, graph.transitiveDependentsOf(new JobId("job-0")).size(), "dependents");
  }
}
