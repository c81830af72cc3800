package org.mulleinshift.protocol;

/**
 * Orders a worker's messages: the one with the larger version is the newer one.
 *
 * @param epoch rises each time the worker's lease expires
 * @param sequence rises with each message
 */
public record HeartbeatVersion(long epoch, long sequence) implements Comparable<HeartbeatVersion> {
  /** Older than every message. */
  public static final HeartbeatVersion NONE = new HeartbeatVersion(0, 0);

  /** Whether a message of this version is newer. */
  public boolean isAfter(HeartbeatVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(HeartbeatVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
  }
}
