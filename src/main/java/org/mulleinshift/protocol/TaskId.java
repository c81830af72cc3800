package org.mulleinshift.protocol;

/**
 * The id of a task. {@code equals} and {@code hashCode} are explicit for the reason given at {@link
 * TextId}.
 *
 * @param index index of the task in its job, from 0
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
