package org.mulleinshift.model;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.protocol.JobId;

/** The jobs of a leader's term that may run or are about to end, ordered by id. */
public final class JobTable {
  private final Map<JobId, Job> jobs = new TreeMap<>();

  /** Adds a job, in place of an earlier one with the same id. */
  public void add(Job job) {
    jobs.put(job.spec().id(), job);
  }

  /** Removes a job and returns it, if it is here. */
  public Optional<Job> remove(JobId id) {
    return Optional.ofNullable(jobs.remove(id));
  }

  /** The job with that id, if it is here. */
  public Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** All jobs, in the order of their ids. */
  public Collection<Job> all() {
    return jobs.values();
  }
}
