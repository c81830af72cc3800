package org.mulleinshift.memory;

/**
 * Level of memory pressure, which decides which requests of users are refused. Leases, heartbeats
 * and commands to workers are served at every level.
 */
public enum MemoryPressure {
  /** No request is refused for lack of memory. */
  NORMAL,
  /** Only a few polls may be pending at a time; further ones are refused. */
  HIGH,
  /** Even fewer polls may be pending, and new submissions are refused. */
  CRITICAL
}
