package org.mulleinshift.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.sharding.MachineLiveness;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The total size of the usable machines: those that are up or being provisioned, except those that
 * are cordoned or that their owner reports as not alive. Recomputed at most once per interval.
 */
final class UsableClusterCapacity {
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

  private final ClusterState state;
  private final Map<MachineTypeId, Resources> byType = new HashMap<>();
  private Resources total = Resources.ZERO;
  private Optional<MonotonicTime> refreshedAt = Optional.empty();

  UsableClusterCapacity(ClusterState state) {
    this.state = state;
  }

  /** Recomputes the total if the interval has passed since the last time. */
  void refreshIfDue(MonotonicTime now) {
    if (refreshedAt.isEmpty() || now.since(refreshedAt.get()).compareTo(REFRESH_INTERVAL) >= 0) {
      refreshedAt = Optional.of(now);
      refresh();
    }
  }

  private void refresh() {
    byType.clear();
    total = Resources.ZERO;
    for (ShardView shard : state.shards().all()) {
      shard.machines().forEach((machine, record) -> addIfUsable(shard, machine, record));
    }
  }

  private void addIfUsable(ShardView shard, MachineId machine, MachineRecord record) {
    boolean unreachable =
        shard.statusOf(machine).filter(UsableClusterCapacity::isUnreachable).isPresent();
    MachineType type = state.catalog().type(record.type()).orElse(null);
    if (type != null && !unreachable && !state.isCordoned(machine)) {
      byType.merge(type.id(), type.size(), Resources::plus);
      total = total.plus(type.size());
    }
  }

  private static boolean isUnreachable(MachineStatus status) {
    return !status.getLiveness().equals(MachineLiveness.ALIVE.wireName());
  }

  Resources total() {
    return total;
  }

  /** The share of all CPUs that machines of these types have; 1 if there are no machines. */
  double shareOfTypes(Set<MachineTypeId> types) {
    Resources reachable = Resources.ZERO;
    for (MachineTypeId type : types) {
      reachable = reachable.plus(byType.getOrDefault(type, Resources.ZERO));
    }
    return total.cpus() > 0 ? reachable.cpus() / total.cpus() : 1;
  }
}
