package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which controllers may own shards. A controller that is cut off from nothing but its
 * workers looks healthy to its peers and to the store. Two observations together show that the
 * controller is at fault, rather than a zone or the machines: it reports that its machines'
 * heartbeats have stopped; and either its machines report to other controllers, or the heartbeats
 * of all its machines have stopped while other controllers reach theirs. It gets no shards until it
 * reaches its workers again and has completed a probation, which doubles with each incident.
 */
public final class OwnerEligibility {
  private static final Logger LOG = LoggerFactory.getLogger(OwnerEligibility.class);
  private static final Duration FIRST_PROBATION = Duration.ofSeconds(5);

  /** If no incident occurs for longer than this, the next one counts as the first. */
  private static final Duration INCIDENT_WINDOW = Duration.ofMinutes(3);

  private static final int MAX_DOUBLINGS = 4;

  /** The incident history of one controller. */
  private static final class Incidents {
    private int count;
    private boolean unreachable;
    private MonotonicTime lastAt;
    private MonotonicTime ineligibleUntil;
  }

  private final Function<NodeId, WorkerReachability.State> reachability;
  private final Map<NodeId, Incidents> incidents = new HashMap<>();

  /**
   * Creates an instance in which all controllers are eligible.
   *
   * @param reachability whether a controller reaches its workers, as it reports itself
   */
  public OwnerEligibility(Function<NodeId, WorkerReachability.State> reachability) {
    this.reachability = reachability;
  }

  /**
   * Updates the state of all live controllers and returns those that may not own shards now. All
   * are evaluated together, before any shard is granted.
   *
   * @param suspicionCounts how many machines of each owner recently reported to another controller
   * @param live the controllers that would otherwise be able to own shards
   */
  public Set<NodeId> updateAndGetIneligible(
      Map<NodeId, Integer> suspicionCounts, Collection<NodeId> live, MonotonicTime now) {
    boolean anyReachesWorkers =
        live.stream()
            .anyMatch(node -> reachability.apply(node) == WorkerReachability.State.REACHABLE);
    for (NodeId node : live) {
      boolean suspected = suspicionCounts.getOrDefault(node, 0) > 0;
      update(node, suspected, anyReachesWorkers, now);
    }
    Set<NodeId> ineligible = new HashSet<>();
    incidents.forEach(
        (node, history) -> {
          if (history.unreachable || history.ineligibleUntil.isAfter(now)) {
            ineligible.add(node);
          }
        });
    return ineligible;
  }

  private void update(
      NodeId node, boolean suspected, boolean anyReachesWorkers, MonotonicTime now) {
    WorkerReachability.State own = reachability.apply(node);
    boolean allUnreachable = own == WorkerReachability.State.ALL_UNREACHABLE;
    boolean mostUnreachable = allUnreachable || own == WorkerReachability.State.MOST_UNREACHABLE;
    Incidents history = incidents.get(node);
    if (history != null && history.unreachable) {
      if (!mostUnreachable) {
        onReachableAgain(node, history, now);
      }
    } else if ((allUnreachable && anyReachesWorkers) || (mostUnreachable && suspected)) {
      // If no controller reaches its workers, this one is not at fault.
      recordIncident(node, now);
    }
  }

  private void recordIncident(NodeId node, MonotonicTime now) {
    Incidents history = incidents.computeIfAbsent(node, key -> new Incidents());
    boolean expired = history.count > 0 && now.since(history.lastAt).compareTo(INCIDENT_WINDOW) > 0;
    history.count = expired ? 1 : history.count + 1;
    history.lastAt = now;
    history.ineligibleUntil = now;
    history.unreachable = true;
    LOG.info("owner ineligible, node={} reason=workers unreachable", node);
  }

  /**
   * The controller's own report suffices to start the probation, which doubles with each incident.
   */
  private static void onReachableAgain(NodeId node, Incidents history, MonotonicTime now) {
    Duration probation =
        FIRST_PROBATION.multipliedBy(1L << Math.min(history.count - 1, MAX_DOUBLINGS));
    history.unreachable = false;
    history.ineligibleUntil = now.plus(probation);
    LOG.info("owner reaches its workers, node={} probation_s={}", node, probation.toSeconds());
  }
}
