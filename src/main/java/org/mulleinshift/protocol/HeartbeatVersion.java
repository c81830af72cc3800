package org.mulleinshift.protocol;

/**
 * Orders the messages of a worker: a newer message has a larger version. Versions compare by epoch,
 * then by sequence.
 *
 * @param epoch the worker's epoch; increases each time its lease expires
 * @param sequence increases with each message
 */
public record HeartbeatVersion(long epoch, long sequence) implements Comparable<HeartbeatVersion> {
  /** Stands for no message: older than every message that a worker sends. */
  public static final HeartbeatVersion NONE = new HeartbeatVersion(0, 0);

  /** Whether a message of this version is newer than one of the other version. */
  public boolean isAfter(HeartbeatVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(HeartbeatVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
  }
}
