package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.mulleinshift.protocol.Resources;

/**
 * What found no room while rooms only get smaller: whatever asks for as much or more, and is
 * allowed no more machines, finds none either and need not look at every machine again.
 */
final class UnplaceableNeeds {
  private static final int MOST = 12;

  private final List<PlacementNeed> failed = new ArrayList<>();

  void add(PlacementNeed need) {
    if (failed.size() < MOST && !covers(need)) {
      failed.add(need);
    }
  }

  boolean covers(PlacementNeed need) {
    for (PlacementNeed known : failed) {
      if (known.perTask().within(need.perTask()) && known.allowsAllOf(need)) {
        return true;
      }
    }
    return false;
  }

  /** The least that any of these asks for, of each kind; endless if there are none. */
  static <T> Resources leastOf(Collection<T> all, Function<T, PlacementNeed> need) {
    Resources least = Resources.ENDLESS;
    for (T one : all) {
      least = least(least, need.apply(one).perTask());
    }
    return least;
  }

  /** The least that any of the needs asks for, of each kind; no room without it is of any use. */
  static Resources least(Resources one, Resources other) {
    return new Resources(
        Math.min(one.cpus(), other.cpus()),
        Math.min(one.gpus(), other.gpus()),
        Math.min(one.memoryGb(), other.memoryGb()));
  }
}
