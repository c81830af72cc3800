package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The time until which a shard owner may answer workers, start tasks and let them run, by its own
 * monotonic clock. The lease lasts for one shard lease after the oldest of its three pieces of
 * {@link Evidence}.
 *
 * <p>Evidence is dated by when the request was sent, directly or through a peer: what the response
 * shows was true at that time or later. So at these times the session had not expired, no grant had
 * been revoked, and every cancellation confirmed until then was known. After a cancellation that is
 * not known, this lease and then the workers' leases expire within the time allowed for a
 * cancellation (see {@code docs/cancellation.md}).
 */
public final class OwnershipLease {
  /** Allows for the time between the validity check and the action. */
  private static final Duration SAFETY_MARGIN = Duration.ofMillis(200);

  /** Upper bound on the relative rate difference of two monotonic clocks. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** What the owner must know; each piece has its own time. */
  public enum Evidence {
    /** The store renewed the session lease. */
    SESSION_RENEWED,
    /** The shard grants were read from the store. */
    GRANTS_READ,
    /** All stored cancellations are known to this controller. */
    CANCELLATIONS_KNOWN
  }

  private final Duration usableFor;
  private final Map<Evidence, MonotonicTime> evidenceAsOf = new EnumMap<>(Evidence.class);

  /** When the session was registered; empty before. */
  private Optional<MonotonicTime> registeredAt = Optional.empty();

  /**
   * Creates a lease without evidence, which is not valid.
   *
   * @param lease duration of a shard lease
   */
  OwnershipLease(Duration lease) {
    this.usableFor =
        Duration.ofNanos((long) (lease.toNanos() * (1 - MAX_CLOCK_DRIFT))).minus(SAFETY_MARGIN);
  }

  /**
   * Starts anew with a session that was just registered in the store: only evidence requested from
   * now on counts. So a controller that has no session at some moment will know every cancellation
   * stored until then before it may act again.
   */
  void onSessionRegistered(MonotonicTime now) {
    registeredAt = Optional.of(now);
    evidenceAsOf.clear();
  }

  /**
   * Records evidence; nothing else extends the lease.
   *
   * @param requestedAt when the request was sent whose response gave the evidence
   * @return false, without recording it, if it was requested before the session was registered
   */
  boolean confirm(Evidence evidence, MonotonicTime requestedAt) {
    if (registeredAt.filter(registered -> !registered.isAfter(requestedAt)).isEmpty()) {
      return false;
    }
    evidenceAsOf.merge(evidence, requestedAt, (known, next) -> next.isAfter(known) ? next : known);
    return true;
  }

  /** Discards the evidence; the lease is invalid until it is confirmed again. */
  void invalidate(Evidence evidence) {
    evidenceAsOf.remove(evidence);
  }

  /** Whether the owner may act at the given time. */
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

  /** Describes for the log which evidence is missing or else the oldest. */
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
