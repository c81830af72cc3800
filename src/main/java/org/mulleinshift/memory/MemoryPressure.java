package org.mulleinshift.memory;

/** Memory pressure. Leases, heartbeats and commands to workers are served at each level. */
public enum MemoryPressure {
  /** No request is refused for lack of memory. */
  NORMAL,
  /** Few polls may wait at a time; further ones are refused. */
  HIGH,
  /** New submissions are refused as well. */
  CRITICAL
}
