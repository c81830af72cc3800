package org.mulleinshift.memory;

/** How short of memory this controller is. Leases, reports and orders are served at each level. */
public enum MemoryPressure {
  /** Enough for everybody. */
  NORMAL,
  /** Few polls may wait at a time; the others are refused. */
  HIGH,
  /** New submissions are refused, too. */
  CRITICAL
}
