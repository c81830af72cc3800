package org.mulleinshift.invariants;

import java.util.Locale;

/** The invariants of the protocol that are checked in each run. */
public enum Rule {
  /** A task ran on two machines at a time. */
  RAN_TWICE,
  /** A worker carried out a command to start an attempt after it was told to forget the attempt. */
  STARTED_AGAIN,
  /** A task ran where its job's constraints exclude it. */
  WRONG_PLACE,
  /** A task started although its job's end was stored. */
  OVER,
  /** A task ran too long after the cancellation of its job was reported. */
  RAN_CANCELLED,
  /** A task ran before the dependencies of its job were done. */
  TOO_EARLY,
  /** A team used more than its limit. */
  QUOTA,
  /** An accepted job was lost. */
  FORGOTTEN,
  /** A response described a job that nobody submitted. */
  INVENTED,
  /** A terminal phase changed, or a job was reported cancelled without a cause. */
  WENT_BACK,
  /** A job stayed open although one of its dependencies was cancelled. */
  ORPHANED,
  /** A job was reported as done before all of its tasks were. */
  NOT_DONE,
  /** A job waited although a machine had capacity for it. */
  LEFT_WAITING,
  /** An invalid request was not rejected as invalid. */
  UNFIT;

  /** The name in violations and in the list of known failures: lower case. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
