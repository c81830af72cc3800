package org.mulleinshift.protocol;

/** Orders a worker's messages: the larger one is the newer one. */
public record HeartbeatVersion(long epoch, long sequence) implements Comparable<HeartbeatVersion> {
  public static final HeartbeatVersion NEVER = new HeartbeatVersion(0, 0);

  public boolean isAfter(HeartbeatVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(HeartbeatVersion other) {
    int bySession = Long.compare(epoch, other.epoch);
    return bySession != 0 ? bySession : Long.compare(sequence, other.sequence);
  }
}
