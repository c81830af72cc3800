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
 * Reserves capacity for classes whose tasks must start soon, by keeping it free of tasks of other
 * classes. The amount is a multiple of what a job of the class requests on average; it is reserved
 * as long as such jobs keep arriving.
 */
public final class CapacityReservation {
  /** Weight of the latest job in the moving average. */
  private static final double LATEST_WEIGHT = 0.2;

  /** Capacity reserved for a number of equal tasks of one class. */
  public record Reservation(ResourceRequest request, int count) {}

  /** The latest request, mean number of tasks and latest arrival of a class's jobs. */
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
   * Reserves capacity for the classes that have a start-time objective.
   *
   * @param objectives the objectives of the deployment
   * @param reservedJobs for how many average jobs of each class capacity is reserved; may be a
   *     fraction
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

  /** Whether capacity is reserved for the job's class, which then has a start-time objective. */
  boolean appliesTo(JobSpec spec) {
    return reservedClasses.contains(spec.jobClass());
  }

  /** Whether any class has a start-time objective. */
  boolean hasReservedClasses() {
    return !reservedClasses.isEmpty();
  }

  /** Records the arrival of a job; a job whose class has no reservation is ignored. */
  public void onJobArrived(JobSpec spec, MonotonicTime now) {
    if (appliesTo(spec)) {
      ClassDemand demand = demandByClass.computeIfAbsent(spec.jobClass(), key -> new ClassDemand());
      demand.meanTasks =
          demand.latestRequest == null
              ? spec.taskCount()
              : demand.meanTasks * (1 - LATEST_WEIGHT) + spec.taskCount() * LATEST_WEIGHT;
      demand.latestRequest = ResourceRequest.of(spec);
      demand.latestArrival = now;
    }
  }

  /** The reservations in effect, at most one for each class. */
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
