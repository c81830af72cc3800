package org.mulleinshift.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.MachineTypeId;

/** Counts delayed boots by machine type, as of the latest run. */
final class BootMonitor {
  /** Number of delayed machines at which a type counts as not coming up at present. */
  private static final int DELAYED_BOOTS_THRESHOLD = 2;

  private final Map<MachineTypeId, Integer> delayedBoots = new HashMap<>();

  /** Discards the counts of the previous run. */
  void reset() {
    delayedBoots.clear();
  }

  /**
   * Counts a machine of the type that boots late while none of the type provisioned since is up.
   */
  void onDelayed(MachineTypeId type) {
    delayedBoots.merge(type, 1, Integer::sum);
  }

  /** Returns whether machines of the type are not coming up at present. */
  boolean isDelayed(MachineTypeId type) {
    return delayedCount(type) >= DELAYED_BOOTS_THRESHOLD;
  }

  /** Returns how many machines of the type are delayed. */
  int delayedCount(MachineTypeId type) {
    return delayedBoots.getOrDefault(type, 0);
  }

  /** Returns the types with at least one delayed machine. */
  Set<MachineTypeId> typesWithDelays() {
    return delayedBoots.keySet();
  }
}
