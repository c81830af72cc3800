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
import org.mulleinshift.settings.ObjectiveKind;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Capacity kept free of less urgent work for classes whose tasks must start soon: a share of what
 * their jobs request on average, as long as such jobs keep arriving.
 */
public final class CapacityReservation {
  /** Of the latest job in the moving average. */
  private static final double LATEST_WEIGHT = 0.2;

  /** Tasks of one class for which capacity is reserved. */
  public record Reservation(ResourceRequest request, int count) {}

  /** What the jobs of a class request. */
  private static final class ClassDemand {
    private ResourceRequest latestRequest;
    private double meanTasks;
    private MonotonicTime latestArrival;
  }

  private final Set<String> reservedClasses = new HashSet<>();
  private final Map<String, ClassDemand> demandByClass = new HashMap<>();
  private final double reservedJobs;
  private final Duration keepDuration;

  /**
   * Reservations by the objectives of a deployment.
   *
   * @param reservedJobs how much of what a job requests on average is reserved
   * @param keepDuration how long capacity is reserved after the last job of a class arrived
   */
  public CapacityReservation(
      List<PlatformSettings.Objective> objectives, double reservedJobs, Duration keepDuration) {
    for (PlatformSettings.Objective objective : objectives) {
      if (objective.kind() == ObjectiveKind.WAIT) {
        objective.jobClass().ifPresent(reservedClasses::add);
      }
    }
    this.reservedJobs = reservedJobs;
    this.keepDuration = keepDuration;
  }

  /** Whether capacity is reserved for the job's class. */
  boolean appliesTo(JobSpec spec) {
    return reservedClasses.contains(spec.jobClass());
  }

  /** Whether any class has a start objective. */
  boolean hasReservedClasses() {
    return !reservedClasses.isEmpty();
  }

  /** A job has arrived, of whichever class. */
  public void onJobArrived(JobSpec spec, MonotonicTime now) {
    if (appliesTo(spec)) {
      ClassDemand demand = demandByClass.computeIfAbsent(spec.jobClass(), key -> new ClassDemand());
      demand.meanTasks =
          demand.latestRequest == null
              ? spec.tasks()
              : demand.meanTasks * (1 - LATEST_WEIGHT) + spec.tasks() * LATEST_WEIGHT;
      demand.latestRequest = ResourceRequest.of(spec);
      demand.latestArrival = now;
    }
  }

  /** What is reserved now. */
  public List<Reservation> reservations(MonotonicTime now) {
    List<Reservation> reserved = new ArrayList<>();
    for (ClassDemand demand : demandByClass.values()) {
      int count = (int) Math.round(demand.meanTasks * reservedJobs);
      if (count > 0 && now.since(demand.latestArrival).compareTo(keepDuration) < 0) {
        reserved.add(new Reservation(demand.latestRequest, count));
      }
    }
    return reserved;
  }
}
