package org.mulleinshift.simulation;

import org.mulleinshift.simulation.time.Timeline;

/**
 * Delivers messages of one kind a second time, late, after they were carried out and answered.
 * Nobody waits for the answer to a copy.
 */
public final class DelayedCopies {
  /** What is copied. */
  public enum Kind {
    /** Direct messages to workers that carried them out. */
    COMMANDS,
    /** Frames between controllers; the copy may reach a later process of the receiver. */
    FRAMES,
    /** Requests that change the key-value store: transactions, leases. */
    WRITES,
    /** Requests that provision or delete machines. */
    MACHINES,
    /** Users' submissions and cancellations; the copy may reach any controller. */
    USERS
  }

  private final Timeline timeline;
  private double copyUntil;
  private double copiedShare;
  private double minDelaySeconds;
  private double maxDelaySeconds;

  /** Creates an instance that copies nothing until the fault is started. */
  DelayedCopies(Timeline timeline) {
    this.timeline = timeline;
  }

  /**
   * For {@code seconds}, a random {@code share} of the messages that are carried out arrives once
   * more, after a random delay of {@code minDelay} to {@code maxDelay} seconds.
   */
  public void copyDuring(double seconds, double share, double minDelay, double maxDelay) {
    copyUntil = timeline.seconds() + seconds;
    copiedShare = share;
    minDelaySeconds = minDelay;
    maxDelaySeconds = maxDelay;
  }

  /** Called for every message that was carried out; {@code again} delivers it a second time. */
  void onCarriedOut(Runnable again) {
    if (timeline.seconds() < copyUntil && timeline.random() < copiedShare) {
      double delay = minDelaySeconds + (maxDelaySeconds - minDelaySeconds) * timeline.random();
      timeline.after(delay, again);
    }
  }
}
