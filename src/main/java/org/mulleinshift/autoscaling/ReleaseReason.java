package org.mulleinshift.autoscaling;

/** Why a machine is released. */
enum ReleaseReason {
  /** It did not come up within any time worth waiting for. */
  BOOT_ABANDONED,
  /** It was up, and its lease has expired without a heartbeat. */
  LOST,
  /** Tasks of several jobs failed on it. */
  QUARANTINED,
  /** The cloud lists it as failed. */
  FAILED,
  /** No task uses it, and none is expected to. */
  IDLE
}
