package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Until when an owner may answer workers, start tasks and let them run, by its own steady clock: a
 * shard lease after the oldest of three moments. Each is the one at which a question was sent whose
 * answer showed its ground, whoever carried it: what the answer tells is true of that moment or a
 * later one. The store can't have ended the session by then, no grant can have been withdrawn, and
 * every cancellation that was confirmed before was known; one that was not is followed by the end
 * of this right and then of the workers' leases within the time that a cancellation has (see {@code
 * docs/cancellation.md}).
 */
public final class OwnershipLease {
  private static final Duration SAFETY = Duration.ofMillis(200);
  private static final double DRIFT = 0.001;

  /** What must be known, each as of its own moment. */
  public enum Evidence {
    SESSION_RENEWED,
    GRANTS_READ,
    CANCELLATIONS_KNOWN
  }

  private final Duration usable;
  private final Map<Evidence, MonotonicTime> asOf = new EnumMap<>(Evidence.class);

  OwnershipLease(Duration lease) {
    this.usable = Duration.ofNanos((long) (lease.toNanos() * (1 - DRIFT))).minus(SAFETY);
  }

  /** The only place where the right grows. */
  void confirm(Evidence ground, MonotonicTime asked) {
    asOf.merge(ground, asked, (known, next) -> next.isAfter(known) ? next : known);
  }

  /** The ground is gone, whatever was shown of it. */
  void invalidate(Evidence ground) {
    asOf.remove(ground);
  }

  boolean isValid(MonotonicTime now) {
    return asOf.size() == Evidence.values().length
        && asOf.values().stream().allMatch(asked -> asked.plus(usable).isAfter(now));
  }

  /** Whether the ground was shown as of so short a time ago. */
  boolean fresh(Evidence ground, MonotonicTime now, Duration within) {
    MonotonicTime asked = asOf.get(ground);
    return asked != null && now.since(asked).compareTo(within) < 0;
  }

  /** Which ground the right hangs on, for the log. */
  String describeOldest(MonotonicTime now) {
    for (Evidence ground : Evidence.values()) {
      if (!asOf.containsKey(ground)) {
        return ground + " not shown";
      }
    }
    return asOf.entrySet().stream()
        .min(Comparator.comparing(Map.Entry::getValue))
        .map(oldest -> oldest.getKey() + " " + now.since(oldest.getValue()).toMillis() + " ms ago")
        .orElseThrow();
  }
}
