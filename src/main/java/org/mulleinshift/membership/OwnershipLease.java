package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Until when a shard owner may answer workers, start tasks and let them run, by its own steady
 * clock: one shard lease after the oldest of three moments. Each moment is the one at which a
 * request was sent whose response gave the {@link Evidence}, whoever carried it: what the response
 * shows is true of that moment or a later one. The store can't have expired the session by then, no
 * grant can have been revoked, and every cancellation that was confirmed before was known. A
 * cancellation that was not known is followed by the expiry of this lease and then of the workers'
 * leases within the time allowed for a cancellation (see {@code docs/cancellation.md}).
 */
public final class OwnershipLease {
  /** Kept free for the time between the check and the action. */
  private static final Duration SAFETY_MARGIN = Duration.ofMillis(200);

  /** Bound on the rate by which two steady clocks differ. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** What must be known, each as of its own moment. */
  public enum Evidence {
    /** The store has renewed the session lease. */
    SESSION_RENEWED,
    /** The shard grants were read from the store. */
    GRANTS_READ,
    /** All stored cancellations are known to this controller. */
    CANCELLATIONS_KNOWN
  }

  private final Duration usableFor;
  private final Map<Evidence, MonotonicTime> evidenceAsOf = new EnumMap<>(Evidence.class);

  /**
   * A lease without any evidence, and so not valid.
   *
   * @param lease lifetime of a shard lease
   */
  OwnershipLease(Duration lease) {
    this.usableFor =
        Duration.ofNanos((long) (lease.toNanos() * (1 - MAX_CLOCK_DRIFT))).minus(SAFETY_MARGIN);
  }

  /**
   * The only place where the lease is extended.
   *
   * @param requestedAt when the request was sent whose response gave the evidence
   */
  void confirm(Evidence evidence, MonotonicTime requestedAt) {
    evidenceAsOf.merge(evidence, requestedAt, (known, next) -> next.isAfter(known) ? next : known);
  }

  /** The evidence no longer counts, however fresh it was. */
  void invalidate(Evidence evidence) {
    evidenceAsOf.remove(evidence);
  }

  /** Whether the owner may act at this moment. */
  boolean isValid(MonotonicTime now) {
    return evidenceAsOf.size() == Evidence.values().length
        && evidenceAsOf.values().stream()
            .allMatch(requestedAt -> requestedAt.plus(usableFor).isAfter(now));
  }

  /** Whether the evidence was requested less than {@code maxAge} ago. */
  boolean isFresh(Evidence evidence, MonotonicTime now, Duration maxAge) {
    MonotonicTime requestedAt = evidenceAsOf.get(evidence);
    return requestedAt != null && now.since(requestedAt).compareTo(maxAge) < 0;
  }

  /** The evidence that expires first, or that is missing, for the log. */
  String describeOldest(MonotonicTime now) {
    for (Evidence evidence : Evidence.values()) {
      if (!evidenceAsOf.containsKey(evidence)) {
        return "missing=" + evidence;
      }
    }
    return evidenceAsOf.entrySet().stream()
        .min(Comparator.comparing(Map.Entry::getValue))
        .map(
            oldest ->
                "oldest=" + oldest.getKey() + " age_ms=" + now.since(oldest.getValue()).toMillis())
        .orElseThrow();
  }
}
