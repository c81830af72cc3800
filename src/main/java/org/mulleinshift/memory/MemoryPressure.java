package org.mulleinshift.memory;

/** How short of memory this controller is. Leases, reports and orders are served at each level. */
public enum MemoryPressure {
  /** Enough for everybody. */
  EASE,
  /** Few polls may wait at a time; the others are refused. */
  TIGHT,
  /** New submissions are refused, too. */
  SCARCE
}
