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
 * Which controllers can hold shards. One that is cut off from its workers alone looks well to its
 * peers and to the state service. It says itself that its machines have stopped reporting, and
 * either the machines knock at others, or all have stopped while other controllers hear theirs:
 * both together show that it is the controller, not a zone or the machines. It gets no shards until
 * it hears its workers again and for a while after, each time for longer.
 */
public final class OwnerEligibility {
  private static final Logger LOG = LoggerFactory.getLogger(OwnerEligibility.class);
  private static final Duration FIRST = Duration.ofSeconds(5);
  private static final Duration FORGIVEN = Duration.ofMinutes(3);
  private static final int MAX_DOUBLINGS = 4;

  private static final class Incidents {
    private int count;
    private boolean unreachable;
    private MonotonicTime lastAt;
    private MonotonicTime until;
  }

  private final Function<NodeId, WorkerReachability.State> reachability;
  private final Map<NodeId, Incidents> incidents = new HashMap<>();

  public OwnerEligibility(Function<NodeId, WorkerReachability.State> hearing) {
    this.reachability = hearing;
  }

  /**
   * The controllers that can not hold shards now; all are judged in one go, before any shard moves.
   *
   * @param knocks how many machines of each owner reported elsewhere lately
   * @param live the controllers that could hold shards
   */
  public Set<NodeId> ineligible(
      Map<NodeId, Integer> suspicions, Collection<NodeId> live, MonotonicTime now) {
    boolean othersHear =
        live.stream().anyMatch(node -> reachability.apply(node) == WorkerReachability.State.WELL);
    for (NodeId node : live) {
      WorkerReachability.State own = reachability.apply(node);
      // Where no controller hears its workers it is not the controller.
      boolean proven = own == WorkerReachability.State.ALL_SILENT && othersHear;
      boolean most =
          own == WorkerReachability.State.MOST_SILENT || own == WorkerReachability.State.ALL_SILENT;
      Incidents known = incidents.get(node);
      if (known != null && known.unreachable) {
        if (!most) {
          onReachableAgain(node, known, now);
        }
      } else if (proven || (most && suspicions.getOrDefault(node, 0) > 0)) {
        recordIncident(node, now);
      }
    }
    Set<NodeId> unfit = new HashSet<>();
    incidents.forEach(
        (node, known) -> {
          if (known.unreachable || known.until.isAfter(now)) {
            unfit.add(node);
          }
        });
    return unfit;
  }

  private void recordIncident(NodeId node, MonotonicTime now) {
    Incidents known = incidents.computeIfAbsent(node, key -> new Incidents());
    boolean forgiven = known.count > 0 && now.since(known.lastAt).compareTo(FORGIVEN) > 0;
    known.count = forgiven ? 1 : known.count + 1;
    known.lastAt = now;
    known.until = now;
    known.unreachable = true;
    LOG.info("{} cannot reach its workers: its blocks go to others", node);
  }

  /** Its word is a sign of its workers; what comes and goes is trusted later each time. */
  private static void onReachableAgain(NodeId node, Incidents known, MonotonicTime now) {
    Duration trial = FIRST.multipliedBy(1L << Math.min(known.count - 1, MAX_DOUBLINGS));
    known.unreachable = false;
    known.until = now.plus(trial);
    LOG.info("{} hears its workers again: it may hold blocks in {} s", node, trial.toSeconds());
  }
}
