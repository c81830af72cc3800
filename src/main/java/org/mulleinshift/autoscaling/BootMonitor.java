package org.mulleinshift.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.MachineTypeId;

/** The machines that boot late, by type, as the latest run saw them. */
final class BootMonitor {
  /** So many late machines of a type mean that the type does not come up at the moment. */
  private static final int DELAYED_BOOTS_THRESHOLD = 2;

  private final Map<MachineTypeId, Integer> delayedBoots = new HashMap<>();

  /** Forgets what the run before saw. */
  void reset() {
    delayedBoots.clear();
  }

  /** A machine of the type boots late, and so do all of that type provisioned since. */
  void onDelayed(MachineTypeId type) {
    delayedBoots.merge(type, 1, Integer::sum);
  }

  /** Whether machines of the type do not come up at the moment. */
  boolean isDelayed(MachineTypeId type) {
    return delayedCount(type) >= DELAYED_BOOTS_THRESHOLD;
  }

  /** How many machines of the type boot late. */
  int delayedCount(MachineTypeId type) {
    return delayedBoots.getOrDefault(type, 0);
  }

  /** The types of which some machine boots late. */
  Set<MachineTypeId> typesWithDelays() {
    return delayedBoots.keySet();
  }
}
