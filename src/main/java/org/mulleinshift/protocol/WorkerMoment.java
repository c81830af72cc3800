package org.mulleinshift.protocol;

/** Orders a worker's messages: the larger one is the newer one. */
public record WorkerMoment(long session, long sequence) implements Comparable<WorkerMoment> {
  public static final WorkerMoment NEVER = new WorkerMoment(0, 0);

  public boolean isAfter(WorkerMoment other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(WorkerMoment other) {
    int bySession = Long.compare(session, other.session);
    return bySession != 0 ? bySession : Long.compare(sequence, other.sequence);
  }
}
