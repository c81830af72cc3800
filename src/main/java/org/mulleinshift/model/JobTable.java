package org.mulleinshift.model;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.protocol.JobId;

/** The jobs of a leader's term that may run or are about to end, ordered by id. */
public final class JobTable {
  private final Map<JobId, Job> jobs = new TreeMap<>();

  /** Adds a job, replacing one with the same id. */
  public void add(Job job) {
    jobs.put(job.spec().id(), job);
  }

  /** Removes a job and returns it; empty if it is not in the table. */
  public Optional<Job> remove(JobId id) {
    return Optional.ofNullable(jobs.remove(id));
  }

  /** Returns the job with that id; empty if it is not in the table. */
  public Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns all jobs, ordered by id. */
  public Collection<Job> all() {
    return jobs.values();
  }
}
