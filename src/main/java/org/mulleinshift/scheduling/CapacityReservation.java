package org.mulleinshift.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Room kept free of less urgent work for classes whose tasks must start soon: a share of what their
 * jobs ask for on average, as long as such jobs keep coming.
 */
public final class CapacityReservation {
  private static final double WEIGHT = 0.2;

  /** Tasks for which room is kept. */
  public record Reservation(ResourceRequest request, int count) {}

  private static final class Seen {
    private ResourceRequest need;
    private double tasks;
    private MonotonicTime lastAt;
  }

  private final Set<String> classes = new HashSet<>();
  private final Map<String, Seen> seen = new HashMap<>();
  private final double share;
  private final Duration lasting;

  public CapacityReservation(
      List<PlatformSettings.Objective> objectives, double share, Duration lasting) {
    for (PlatformSettings.Objective objective : objectives) {
      if (objective.kind().equals("wait")) {
        objective.jobClass().ifPresent(classes::add);
      }
    }
    this.share = share;
    this.lasting = lasting;
  }

  boolean appliesTo(JobSpec spec) {
    return classes.contains(spec.jobClass());
  }

  /** Whether any class has a start aim. */
  boolean isActive() {
    return !classes.isEmpty();
  }

  public void onJobArrived(JobSpec spec, MonotonicTime now) {
    if (appliesTo(spec)) {
      Seen known = seen.computeIfAbsent(spec.jobClass(), key -> new Seen());
      known.tasks =
          known.need == null ? spec.tasks() : known.tasks * (1 - WEIGHT) + spec.tasks() * WEIGHT;
      known.need = ResourceRequest.of(spec);
      known.lastAt = now;
    }
  }

  public List<Reservation> reservations(MonotonicTime now) {
    List<Reservation> kept = new ArrayList<>();
    for (Seen known : seen.values()) {
      int count = (int) Math.round(known.tasks * share);
      if (count > 0 && now.since(known.lastAt).compareTo(lasting) < 0) {
        kept.add(new Reservation(known.need, count));
      }
    }
    return kept;
  }
}
