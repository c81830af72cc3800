package org.mulleinshift.sharding;

/** Why an owner raises the fencing token of a machine within a grant. */
enum TokenRaise {
  /** A direct message was not answered and may be carried out late. */
  MESSAGE_UNANSWERED,
  /** The worker's lease expired although its heartbeats were responded to. */
  EPOCH_BEGAN,
  /** Attempts are to be forgotten that a copy of their start command would start again. */
  FORGET,
  /** A worker no longer knows an attempt that a copy of its start command would start again. */
  ATTEMPT_MISSING,
  /** A worker knows no token of the grant any more: its machine has restarted. */
  WORKER_RESTARTED,
  /** A task is stopped whose start command may be on its way. */
  STOP_OF_STARTING_TASK
}
