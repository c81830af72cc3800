package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.mulleinshift.protocol.Resources;

/**
 * Remembers requests that fit no machine, to avoid searching all machines again. Valid only while
 * available capacity does not grow: a request for at least as much of each resource that is allowed
 * on no other machines does not fit either.
 */
public final class UnschedulableRequests {
  /** Bounds the time of a look-up; further requests are not recorded and search in vain again. */
  private static final int MAX_REQUESTS = 12;

  private final List<ResourceRequest> failed = new ArrayList<>();

  /** Records that a request fits no machine. */
  public void add(ResourceRequest request) {
    if (failed.size() < MAX_REQUESTS && !covers(request)) {
      failed.add(request);
    }
  }

  /** Whether the recorded requests imply that this one fits no machine. */
  public boolean covers(ResourceRequest request) {
    for (ResourceRequest known : failed) {
      if (known.perTask().isAtMost(request.perTask()) && known.isNoStricterThan(request)) {
        return true;
      }
    }
    return false;
  }

  /** The smallest amount of each resource that any element requests; unbounded if none. */
  public static <T> Resources minimumOf(Collection<T> all, Function<T, ResourceRequest> requestOf) {
    Resources min = Resources.UNBOUNDED;
    for (T element : all) {
      min = minimum(min, requestOf.apply(element).perTask());
    }
    return min;
  }

  /** The smaller amount of each resource; a machine with less of any resource fits neither. */
  public static Resources minimum(Resources one, Resources other) {
    return new Resources(
        Math.min(one.cpus(), other.cpus()),
        Math.min(one.gpus(), other.gpus()),
        Math.min(one.memoryGb(), other.memoryGb()));
  }
}
