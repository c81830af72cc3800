package org.mulleinshift.autoscaling;

/** Why a machine is released. */
enum ReleaseReason {
  /** Its boot took so long that it is no longer waited for. */
  BOOT_ABANDONED,
  /** It was up, and its lease expired without a heartbeat. */
  LOST,
  /** Tasks of jobs that succeed elsewhere failed on it repeatedly. */
  QUARANTINED,
  /** The cloud lists it as failed. */
  FAILED,
  /** No task uses it or is expected to. */
  IDLE
}
