package org.mulleinshift.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;

/**
 * Checks whether any job that an active job depends on, directly or indirectly, was cancelled. The
 * verdict is derived only from the view of active jobs and from stored ends, not from events that
 * this process observed, so a process that has just started reaches the same verdict.
 */
final class DependencyCheck {
  private final KnownJobs knownJobs;

  DependencyCheck(KnownJobs knownJobs) {
    this.knownJobs = knownJobs;
  }

  /** Returns the verdict by what is known now; it is as fresh as the view of active jobs. */
  DependencyVerdict verdict(JobRecord job) {
    return job.dependencies().isEmpty()
        ? new DependencyVerdict.NoneCancelled()
        : new Search().run(job);
  }

  /** A search of the dependency graph. It follows active dependencies and stops at ended ones. */
  private final class Search {
    private final Set<JobId> visited = new HashSet<>();
    private final Deque<JobRecord> jobsToVisit = new ArrayDeque<>();
    private final Set<JobId> unreadEnds = new LinkedHashSet<>();
    private final List<JobRecord> unreadLists = new ArrayList<>();
    private boolean anyCancelling;
    private boolean anyCancelled;

    DependencyVerdict run(JobRecord job) {
      jobsToVisit.add(job);
      while (!jobsToVisit.isEmpty() && !anyCancelled) {
        visit(jobsToVisit.poll());
      }
      if (anyCancelled) {
        return new DependencyVerdict.Cancelled();
      }
      if (anyCancelling) {
        return new DependencyVerdict.Cancelling();
      }
      return unreadEnds.isEmpty() && unreadLists.isEmpty()
          ? new DependencyVerdict.NoneCancelled()
          : new DependencyVerdict.Unproven(unreadEnds, unreadLists);
    }

    private void visit(JobRecord job) {
      if (knownJobs.hasHadTasks(job.id())) {
        // Its tasks were released, so all its dependencies are stored as done, which is final.
        return;
      }
      Optional<List<JobId>> dependencies = knownJobs.dependenciesOf(job);
      if (dependencies.isPresent()) {
        dependencies.get().stream().filter(visited::add).forEach(this::check);
      } else {
        unreadLists.add(job);
      }
    }

    private void check(JobId dependency) {
      Optional<JobPhase> terminal = knownJobs.cachedTerminalPhase(dependency);
      Optional<JobStatus> active = knownJobs.findActive(dependency);
      if (terminal.filter(JobPhase.DONE::equals).isPresent()) {
        return;
      }
      if (active.isEmpty()) {
        anyCancelled |= terminal.isPresent();
        if (terminal.isEmpty()) {
          unreadEnds.add(dependency);
        }
      } else if (active.get() instanceof JobStatus.Active found) {
        anyCancelling |= terminal.isPresent() || found.job().cancelled();
        jobsToVisit.add(found.job());
      }
    }
  }
}
