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
 * Decides which controllers may own shards. One that is cut off from its workers alone looks
 * healthy to its peers and to the store. Two observations together show that the controller is at
 * fault, not a zone or the machines: it reports itself that its machines' heartbeats have stopped,
 * and either its machines report to other controllers, or all of them have stopped while other
 * controllers reach theirs. It gets no shards until it reaches its workers again and for a
 * probation after that, which is longer each time.
 */
public final class OwnerEligibility {
  private static final Logger LOG = LoggerFactory.getLogger(OwnerEligibility.class);
  private static final Duration FIRST_PROBATION = Duration.ofSeconds(5);

  /** An incident after this time counts as the first one again. */
  private static final Duration INCIDENT_WINDOW = Duration.ofMinutes(3);

  private static final int MAX_DOUBLINGS = 4;

  /** The incidents of one controller. */
  private static final class Incidents {
    private int count;
    private boolean unreachable;
    private MonotonicTime lastAt;
    private MonotonicTime ineligibleUntil;
  }

  private final Function<NodeId, WorkerReachability.State> reachability;
  private final Map<NodeId, Incidents> incidents = new HashMap<>();

  /**
   * All controllers are eligible at first.
   *
   * @param reachability whether a controller reaches its workers, by its own report
   */
  public OwnerEligibility(Function<NodeId, WorkerReachability.State> reachability) {
    this.reachability = reachability;
  }

  /**
   * The controllers that may not own shards now; all are judged together, before any shard moves.
   *
   * @param suspicionCounts how many machines of each owner reported to another controller lately
   * @param live the controllers that could own shards
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
      // Where no controller reaches its workers, the controller is not at fault.
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

  /** The controller's own report is evidence of its workers; each probation is longer. */
  private static void onReachableAgain(NodeId node, Incidents history, MonotonicTime now) {
    Duration probation =
        FIRST_PROBATION.multipliedBy(1L << Math.min(history.count - 1, MAX_DOUBLINGS));
    history.unreachable = false;
    history.ineligibleUntil = now.plus(probation);
    LOG.info("owner reaches its workers, node={} probation_s={}", node, probation.toSeconds());
  }
}
