package org.mulleinshift.protocol;

/**
 * One task of a job. Why {@code equals} and {@code hashCode} are written out: see {@link TextId}.
 *
 * @param index counts a job's tasks from 0
 */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {
  @Override
  public int compareTo(TaskId other) {
    int byJob = job.compareTo(other.job);
    return byJob != 0 ? byJob : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId id && id.index == index && id.job.equals(job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }
}
