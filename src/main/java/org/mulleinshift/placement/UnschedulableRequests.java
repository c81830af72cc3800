package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.mulleinshift.protocol.Resources;

/**
 * Requests that fit no machine, while available capacity only shrinks: a request for as much or
 * more, and allowed on no more machines, fits none either and need not look at every machine again.
 */
public final class UnschedulableRequests {
  /** Bounds the time of a look-up; requests beyond it are tried in vain. */
  private static final int MAX_REQUESTS = 12;

  private final List<ResourceRequest> failed = new ArrayList<>();

  /** Records that a request fits no machine. */
  public void add(ResourceRequest request) {
    if (failed.size() < MAX_REQUESTS && !covers(request)) {
      failed.add(request);
    }
  }

  /** Whether the request is known to fit no machine. */
  public boolean covers(ResourceRequest request) {
    for (ResourceRequest known : failed) {
      if (known.perTask().isAtMost(request.perTask()) && known.isNoStricterThan(request)) {
        return true;
      }
    }
    return false;
  }

  /** Of each resource the minimum that any of these requests; unbounded if there are none. */
  public static <T> Resources minimumOf(Collection<T> all, Function<T, ResourceRequest> requestOf) {
    Resources min = Resources.UNBOUNDED;
    for (T element : all) {
      min = minimum(min, requestOf.apply(element).perTask());
    }
    return min;
  }

  /** Of each resource the smaller amount; capacity that does not have it is of use to neither. */
  public static Resources minimum(Resources one, Resources other) {
    return new Resources(
        Math.min(one.cpus(), other.cpus()),
        Math.min(one.gpus(), other.gpus()),
        Math.min(one.memoryGb(), other.memoryGb()));
  }
}
