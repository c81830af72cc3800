package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.mulleinshift.protocol.Resources;

/**
 * What found no room while rooms only get smaller: whatever asks for as much or more, and is
 * allowed no more machines, finds none either and need not look at every machine again.
 */
public final class UnschedulableRequests {
  private static final int MOST = 12;

  private final List<ResourceRequest> failed = new ArrayList<>();

  public void add(ResourceRequest need) {
    if (failed.size() < MOST && !covers(need)) {
      failed.add(need);
    }
  }

  public boolean covers(ResourceRequest need) {
    for (ResourceRequest known : failed) {
      if (known.perTask().isAtMost(need.perTask()) && known.isNoStricterThan(need)) {
        return true;
      }
    }
    return false;
  }

  /** The least that any of these asks for, of each kind; endless if there are none. */
  public static <T> Resources minimumOf(Collection<T> all, Function<T, ResourceRequest> need) {
    Resources least = Resources.UNBOUNDED;
    for (T one : all) {
      least = minimum(least, need.apply(one).perTask());
    }
    return least;
  }

  /** The least that any of the needs asks for, of each kind; no room without it is of any use. */
  public static Resources minimum(Resources one, Resources other) {
    return new Resources(
        Math.min(one.cpus(), other.cpus()),
        Math.min(one.gpus(), other.gpus()),
        Math.min(one.memoryGb(), other.memoryGb()));
  }
}
