package org.mulleinshift.invariants;

import java.util.Locale;

/** The rules that are checked while controllers run. */
public enum Rule {
  /** A task ran on two machines at a time. */
  RAN_TWICE,
  /** A task ran where its job's constraints exclude it. */
  WRONG_PLACE,
  /** A task started though its job's end was stored. */
  OVER,
  /** A task ran too long after the cancellation of its job was reported. */
  RAN_CANCELLED,
  /** A task ran before the dependencies of its job were done. */
  TOO_EARLY,
  /** A team used more than its limit. */
  QUOTA,
  /** An accepted job was lost. */
  FORGOTTEN,
  /** An answer named a job that nobody submitted. */
  INVENTED,
  /** A terminal phase changed, or was reported without a cause. */
  WENT_BACK,
  /** A job stayed open though one of its dependencies was cancelled. */
  ORPHANED,
  /** A job was reported as done before all of its tasks were. */
  NOT_DONE,
  /** A job waited though a machine had capacity for it. */
  LEFT_WAITING,
  /** An invalid request was not rejected as such. */
  UNFIT;

  /** The name in reports and documents. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
