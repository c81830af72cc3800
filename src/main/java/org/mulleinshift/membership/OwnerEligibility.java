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
  private static final Duration INCIDENT_MEMORY = Duration.ofMinutes(3);

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
   * @param suspicions how many machines of each owner reported to another controller lately
   * @param live the controllers that could own shards
   */
  public Set<NodeId> ineligible(
      Map<NodeId, Integer> suspicions, Collection<NodeId> live, MonotonicTime now) {
    boolean anyReachesWorkers =
        live.stream()
            .anyMatch(node -> reachability.apply(node) == WorkerReachability.State.REACHABLE);
    for (NodeId node : live) {
      boolean suspected = suspicions.getOrDefault(node, 0) > 0;
      update(node, suspected, anyReachesWorkers, now);
    }
    Set<NodeId> ineligible = new HashSet<>();
    incidents.forEach(
        (node, known) -> {
          if (known.unreachable || known.ineligibleUntil.isAfter(now)) {
            ineligible.add(node);
          }
        });
    return ineligible;
  }

  private void update(
      NodeId node, boolean suspected, boolean anyReachesWorkers, MonotonicTime now) {
    WorkerReachability.State own = reachability.apply(node);
    boolean allSilent = own == WorkerReachability.State.ALL_UNREACHABLE;
    boolean mostSilent = allSilent || own == WorkerReachability.State.MOST_UNREACHABLE;
    Incidents known = incidents.get(node);
    if (known != null && known.unreachable) {
      if (!mostSilent) {
        onReachableAgain(node, known, now);
      }
    } else if ((allSilent && anyReachesWorkers) || (mostSilent && suspected)) {
      // Where no controller reaches its workers, the controller is not at fault.
      recordIncident(node, now);
    }
  }

  private void recordIncident(NodeId node, MonotonicTime now) {
    Incidents known = incidents.computeIfAbsent(node, key -> new Incidents());
    boolean expired = known.count > 0 && now.since(known.lastAt).compareTo(INCIDENT_MEMORY) > 0;
    known.count = expired ? 1 : known.count + 1;
    known.lastAt = now;
    known.ineligibleUntil = now;
    known.unreachable = true;
    LOG.info("owner ineligible, node={} reason=workers unreachable", node);
  }

  /** The controller's own report is evidence of its workers; each probation is longer. */
  private static void onReachableAgain(NodeId node, Incidents known, MonotonicTime now) {
    Duration probation =
        FIRST_PROBATION.multipliedBy(1L << Math.min(known.count - 1, MAX_DOUBLINGS));
    known.unreachable = false;
    known.ineligibleUntil = now.plus(probation);
    LOG.info("owner reaches its workers, node={} probation_s={}", node, probation.toSeconds());
  }
}
